#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/sim"
GOFLAGS= GOWORK=off go build -o ../../target/review-sim .
