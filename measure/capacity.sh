#!/usr/bin/env bash
# Measures the resources that daemons use for control traffic, and rewrites the table of
# slopes in docs/CAPACITY.md. Takes about six minutes, on an otherwise idle machine.
set -eu
cd "$(dirname "$0")/../daemon"
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test -tags measure ./peer -run Capacity -count=1 -v -timeout 20m | grep -E '^[a-z0-9].*: [0-9.e+-]+ ' | tee -a "$out"
go test -tags measure ./scenario -run Capacity -count=1 -v -timeout 30m | grep -E '^[a-z0-9].*: [0-9.e+-]+ ' | tee -a "$out"
page=../docs/CAPACITY.md
{
	sed '/^<!-- slopes -->$/q' "$page"
	echo
	echo '| figure | value |'
	echo '| --- | --- |'
	sed 's/^\(.*\): \(.*\)$/| \1 | \2 |/' "$out"
	echo
	sed -n '/^<!-- end of slopes -->$/,$p' "$page"
} >"$page.new"
mv "$page.new" "$page"
