#!/usr/bin/env bash
# Runs random short days on which most requests of a service fail while daemons are
# stopped and restarted several times, and reports on which of them a rule is broken.
#
#   measure/restarts.sh BENCH SITE [DRAWS [FIRST]]
#
# BENCH, SITE, DRAWS, FIRST, JOBS, SMALL and KEEP (default bin/restarts) are as for
# pairs.sh. TROUBLES is the number of other impairments (default 3). EVERY=S kills all
# daemons every S seconds instead of stopping some two to four times. QUIET=1 stops none.
set -eu
bench=$1 site=$2 draws=${3:-100} first=${4:-1}
cd "$(dirname "$0")/.."
keep=${KEEP:-bin/restarts}
mkdir -p "$keep"
service=
twin=$(grep -m1 '^small = ' "$site" || true)
. measure/days.bash
mapfile -t services < <(awk '/^services = \[/{s=1} s' "$site" | grep -oE '^  \{ name = "[^"]+"' | cut -d'"' -f2 | head -2)

ends=(
	'faults|kind="herd_kill",share=1.0'
	'faults|kind="herd_kill",share=0.5'
	'plan|kind="roll_term",share=1.0,x=1.0,gap_s=%0.2-0.6%'
	'faults|kind="node_kill",share=0.5,for_s=%0.5-2%'
)
troubles=(
	'faults|kind="burst",x=%1.3-2%,for_s=%3-6%'
	'faults|kind="srv_grey",share=%0.1-0.4%,x=%0.3-0.7%,how="errors",for_s=%4-8%'
	'faults|kind="srv_grey",share=%0.1-0.4%,x=%0.3-0.7%,how="reset",for_s=%4-8%'
	'faults|kind="srv_crash",service="SERVICE",share=%0.1-0.4%,for_s=%3-6%'
	'faults|kind="srv_cut",share=%0.1-0.3%,for_s=%3-6%'
	'faults|kind="answer_lost",share=%0.3-0.6%,x=%0.05-0.2%,for_s=%3-6%'
	'faults|kind="reset_conns",share=%0.3-0.6%,x=%0.5-1%'
	'faults|kind="zone_cut",for_s=%3-6%'
	'faults|kind="node_cut",share=%0.2-0.4%,for_s=%3-6%'
	'faults|kind="node_freeze",share=%0.1-0.4%,for_s=%2-4%'
	'faults|kind="lossy",x=%0.03-0.08%,for_s=%3-6%'
	'faults|kind="platform_down",how="silent",for_s=%3-6%'
	'faults|kind="platform_slow",x=60.0,for_s=%3-6%'
	'faults|kind="retry_abuse",x=3.0,share=0.3,for_s=%3-6%'
	'faults|kind="add_nodes"'
	'faults|kind="hot_tenant",x=%4-8%,for_s=%3-6%'
	'plan|kind="release",share=%0.3-0.6%,x=1.0,gap_s=0.8'
	'plan|kind="scale_in",share=%0.1-0.2%'
	'plan|kind="rollout_good",service="SERVICE",for_s=14.0'
)
plan='' faults=''

# draw SEED FILE generates the day of a seed and writes it to a file.
draw() {
	local seed=$1 file=$2 at from span n end
	RANDOM=$seed
	plan='' faults=''
	service=${services[RANDOM % ${#services[@]}]}
	between 3 7 && from=$number
	between 8 16 && span=$number
	add "$from" "faults|kind=\"srv_grey\",service=\"SERVICE\",share=1.0,x=%0.6-1%,how=\"errors\",for_s=$span"
	if [[ -n ${EVERY:-} ]]; then
		for at in $(seq "$from" "$EVERY" "$(awk -v a="$from" -v b="$span" 'BEGIN{print a+b}')"); do add "$at" "${ends[0]}"; done
	elif [[ -z ${QUIET:-} ]]; then
		n=$((2 + RANDOM % 3))
		while ((n--)); do
			end=${ends[RANDOM % ${#ends[@]}]}
			between 0.05 0.95
			at=$(awk -v a="$from" -v b="$span" -v r="$number" 'BEGIN{printf "%.2f", a+b*r}')
			add "$at" "$end"
		done
	fi
	n=${TROUBLES:-3}
	while ((n-- > 0)); do
		between 2 16
		add "$number" "${troubles[RANDOM % ${#troubles[@]}]}"
	done
	write_day "$file" "restarts-$seed" "$seed" 23.0 "$plan" "$faults"
}

play_all draw restarts "$draws" "$first"
