#!/usr/bin/env bash
# Builds the program that plays the clients, the workers and the platform of the cases, as a test binary.
# The build tag keeps it out of CI and of the default test run.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review/standin ./review/standin
