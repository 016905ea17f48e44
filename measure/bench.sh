#!/usr/bin/env bash
# Runs the benchmarks of routing decisions and of a single daemon, and prints their
# figures as `name: value unit`.
set -eu
cd "$(dirname "$0")/.."
(cd core && go test ./route -run '^$' -bench Decide -benchmem) |
	awk '/^BenchmarkDecide/ {sub(/^BenchmarkDecide/, "", $1); sub(/Rows.*/, "", $1)
		printf "decision with %s rows: %s ns\ndecision with %s rows: %s allocations\n", $1, $3, $1, $7}'
(cd daemon && go test -tags measure ./scenario -run Bench -count=1 -v -timeout 20m) | grep -E '^[a-z].*: [0-9.e+-]+ |^---.*FAIL|^ +[a-z_]+_test.go'
