#!/usr/bin/env bash
# Runs the gofmt check, go vet, staticcheck, the build and all tests. Skips the tests
# that KNOWN-RED.txt lists. The crowds of internal/soak run last, one at a time, as they
# measure the memory of processes.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=20261203
export CGO_ENABLED=1

unformatted=$(git ls-files '*.go' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
  echo "files not formatted by gofmt: $unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go build -o bin/pollenbend ./cmd/pollenbend

echo "test seed: $SEED"
skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "known failures (KNOWN-RED.txt), skipped:"
  cat KNOWN-RED.txt
  # The patterns are anchored, as the name of one test may be a part of another's. Of two that match the same
  # test, the one with fewer elements comes first in the list, as go test takes the first.
  skip=$(sed -n 's/^test: \([^ ;]*\).*/\1/p' KNOWN-RED.txt | sed 's#/#$/^#g; s/^/^/; s/$/$/' | paste -sd'|' -)
fi
go test -race -timeout 1500s -shuffle="$SEED" -skip "^TestCrowd${skip:+|$skip}" ./...
go test -count=1 -p 1 -timeout 600s -run '^TestCrowd' ${skip:+-skip "$skip"} ./internal/soak
