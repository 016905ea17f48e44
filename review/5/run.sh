#!/usr/bin/env bash
# Plays the case on loopback addresses; TROUBLE=0 leaves the disruption out. Needs target/ladderridged, which
# the build line of the deploy file makes, and target/review-standin2, which review/build-2.sh makes.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ladderridged ] && [ -x target/review-standin2 ] || { echo "build first"; exit 2; }
exec target/review-standin2 endless review/5
