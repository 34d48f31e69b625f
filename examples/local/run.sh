#!/usr/bin/env bash
# Starts the stand-ins and two entry nodes on loopback, as separate processes,
# and stops them when it is interrupted. Run it from the root of the repository.
set -euo pipefail
bin=$(mktemp -d)
go build -o "$bin" ./cmd/...
export WIGEONTILLER_TOKEN="${WIGEONTILLER_TOKEN:-demo-operator}"
[ -d out/local-keys ] || "$bin/wigeontiller" keys new out/local-keys --node entry-a --node entry-b >/dev/null
pids=()
stop() {
  kill "${pids[@]}" 2>/dev/null || true
  wait
  rm -rf "$bin"
}
trap stop EXIT
start() { "$@" & pids+=($!); }
start "$bin/wigeontiller-standin" platform --address 127.0.0.1:9000
start "$bin/wigeontiller-standin" engine --address 127.0.0.1:9101
start "$bin/wigeontiller-standin" engine --address 127.0.0.1:9201
start "$bin/wigeontiller-standin" service --name bookings --address 127.0.0.1:9111
start "$bin/wigeontiller-standin" service --name bookings --address 127.0.0.1:9211
start "$bin/wigeontiller" serve examples/local/node-a.yaml
start "$bin/wigeontiller" serve examples/local/node-b.yaml
echo "callers: 127.0.0.1:8080 and 127.0.0.1:8180; operators: 127.0.0.1:8081 and 127.0.0.1:8181"
wait
