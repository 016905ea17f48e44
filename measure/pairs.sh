#!/usr/bin/env bash
# Runs random days, each with a combination of two or three impairments of random
# strength and time, and reports on which of them a rule is broken.
#
#   measure/pairs.sh BENCH SITE [DRAWS [FIRST]]
#
# BENCH is the bench's program and SITE a site file. DRAWS is the number of days (default
# 100), FIRST the first seed (default 1); the same seed gives the same day. JOBS days run
# at once (default 4). SMALL=1 runs the small variant of a large site. COLD=1 adds to each
# day an evacuated hall, or servers that return cold or crash. Days and outputs are kept
# in the folder KEEP (default bin/pairs).
set -eu
bench=$1 site=$2 draws=${3:-100} first=${4:-1}
cd "$(dirname "$0")/.."
keep=${KEEP:-bin/pairs}
mkdir -p "$keep"
service=$(grep -oE 'name = "[^"]+", model = "llm"' "$site" | head -1 | cut -d'"' -f2)
twin=$(grep -m1 '^small = ' "$site" || true)

# Templates of impairments: the list that the entry belongs to, |, and its fields. %A-B%
# stands for a random number between A and B, rounded to hundredths. Three days of four
# get one of rollouts and one or two of others; the remaining days get two of others.
rollouts=(
	'plan|kind="rollout_bad",service="SERVICE",how="errors",share=%0.1-0.6%,for_s=%14-24%'
	'plan|kind="rollout_bad",service="SERVICE",how="slow",share=%0.2-1%,x=%3-8%,for_s=%14-24%'
	'plan|kind="rollout_bad",service="SERVICE",how="late",share=%0.2-0.6%,gap_s=%4-10%,for_s=%18-24%'
	'plan|kind="rollout_bad",service="SERVICE",how="under_load",share=%0.2-0.6%,for_s=%14-24%'
	'plan|kind="rollout_good",service="SERVICE",for_s=%12-24%'
)
others=(
	'faults|kind="zone_cut",for_s=%3-8%'
	'faults|kind="core_cut",how="split",for_s=%3-8%'
	'faults|kind="core_cut",how="all",for_s=%3-8%'
	'faults|kind="node_cut",share=%0.2-0.6%,for_s=%3-8%'
	'faults|kind="node_cut",share=%0.2-0.6%,how="servers",for_s=%3-8%'
	'faults|kind="node_kill",share=%0.1-0.5%,how="reader hard",for_s=%2-4%'
	'faults|kind="node_kill",share=%0.2-0.6%,for_s=%2-4%'
	'faults|kind="node_freeze",share=%0.1-0.5%,how="reader",for_s=%2-5%'
	'faults|kind="node_freeze",share=%0.2-0.6%,for_s=%2-5%'
	'faults|kind="herd_kill",share=%0.4-1%'
	'faults|kind="platform_down",how="nodes busy revoke meet",share=%0.3-0.8%,for_s=%4-9%'
	'faults|kind="platform_down",how="silent",for_s=%3-8%'
	'faults|kind="platform_lost",x=%0.3-0.8%,how="late",for_s=%4-8%'
	'faults|kind="platform_compact",x=5.0,for_s=%4-8%'
	'faults|kind="reset_conns",share=%0.3-0.8%,x=%0.5-1%,how="silent"'
	'faults|kind="lossy",x=%0.03-0.1%,for_s=%3-8%'
	'faults|kind="srv_slow",share=%0.1-0.4%,x=%3-6%,for_s=%4-12%'
	'faults|kind="srv_grey",share=%0.1-0.4%,x=%0.3-0.7%,how="errors",for_s=%4-10%'
	'faults|kind="srv_crash",service="SERVICE",share=%0.1-0.4%,how="dark",for_s=%3-6%'
	'faults|kind="burst",x=%1.5-2.5%,for_s=%4-8%'
	'faults|kind="hot_tenant",x=%4-12%,for_s=%4-8%'
	'faults|kind="clock_step",share=%0.2-0.6%,x=%1000-6000%,how="ahead",for_s=%3-8%'
	'plan|kind="revoke",count=5,gap_s=0.3,how="last"'
	'plan|kind="roll_term",share=%0.3-1%,x=1.0,gap_s=%0.5-1%'
	'plan|kind="config_storm",gap_s=0.1,for_s=%2-5%'
	'plan|kind="scale_in",share=%0.1-0.3%'
)

# Further templates, used only with COLD and chosen last, so that a seed gives otherwise
# the same day with and without COLD.
cold=(
	'plan|kind="evacuate",for_s=%4-9%'
	'plan|kind="evacuate",how="warm",for_s=%4-9%'
	'faults|kind="cold_return",for_s=%3-6%'
	'faults|kind="cold_return",how="dark",for_s=%3-6%'
	'faults|kind="srv_crash",service="SERVICE",share=%0.2-0.6%,for_s=%3-5%'
)

. measure/days.bash

# day SEED FILE generates the day of a seed and writes it to a file.
day() {
	local seed=$1 file=$2 plan='' faults='' n kind
	RANDOM=$seed
	if ((RANDOM % 4)); then
		add 2.0 "${rollouts[RANDOM % ${#rollouts[@]}]}"
	fi
	n=$((1 + RANDOM % 2))
	[[ -n $plan ]] || n=2
	while ((n--)); do
		kind=${others[RANDOM % ${#others[@]}]}
		between 1 20
		add "$number" "$kind"
	done
	if [[ -n ${COLD:-} ]]; then
		kind=${cold[RANDOM % ${#cold[@]}]}
		between 1 18
		add "$number" "$kind"
	fi
	write_day "$file" "pairs-$seed" "$seed" 34.0 "$plan" "$faults"
}

play_all day pairs "$draws" "$first"
