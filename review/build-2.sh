#!/usr/bin/env bash
# Builds the program that plays the clients, the workers and the platform of the cases from 6 on, as a test binary. It is a module of
# its own without dependencies, which keeps it out of CI and of the default test run.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go test -c -o ../../target/review/standin-2 .
