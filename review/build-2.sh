#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin2 ./review/standin2/*.go
