#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin review/standin/*.go
