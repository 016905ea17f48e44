#!/usr/bin/env bash
# Compares routing decisions with baselines in simulated time, and writes CSV files and
# plots to docs/policy.
set -eu
cd "$(dirname "$0")/../daemon"
mkdir -p ../docs/policy
go test -tags policy ./policy -count=1 -v -args -out "$(cd ../docs/policy && pwd)" | grep -E ': [0-9.e+-]+ |FAIL'
