#!/usr/bin/env bash
# Runs the property tests with a random seed, then each fuzz target. CHECKS (default
# 2000) is the number of cases of each property, FUZZTIME (default 1m) the duration of
# each fuzz target.
set -eu
cd "$(dirname "$0")/.."
seed=$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')
echo "seed $seed"
for package in core/attempt core/bill core/limit core/pin core/queue core/route core/table core/aggregation core/trace daemon/peer; do
	(cd "$package" && go test . -count=1 -timeout 60m -rapid.seed="$seed" -rapid.checks="${CHECKS:-2000}")
done
for target in core/table:FuzzParse daemon/settings:FuzzParse daemon/peer:FuzzDecode daemon/backend:FuzzStream; do
	(cd "${target%%:*}" && go test . -run '^$' -fuzz "${target##*:}" -fuzztime "${FUZZTIME:-1m}")
done
