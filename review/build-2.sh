#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are a module of their own without dependencies.
set -euo pipefail
cd "$(dirname "$0")/sim2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2 .
