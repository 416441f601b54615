#!/usr/bin/env bash
# A speculative gang whose estimate is too low, on a calm cell. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-3 copies ../../target/pollenbend record.txt
