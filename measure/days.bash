# Functions that generate random days (fault-injection scenarios) and run them on the
# bench. Sourced by pairs.sh and restarts.sh. They use the variables bench, site, keep,
# service, twin, plan and faults of the script, and SMALL and JOBS of the environment.

# A command substitution reseeds RANDOM. Functions that use RANDOM therefore return their
# result in a variable, so that the same seed gives the same day.

# between sets number to a random value between two bounds, rounded to hundredths.
between() {
	local r=$RANDOM
	number=$(awk -v a="$1" -v b="$2" -v r="$r" 'BEGIN{printf "%.2f", a+(b-a)*r/32767}')
}

# fill sets entry to a template with SERVICE replaced by the service and each %A-B% by a
# random number between A and B.
fill() {
	entry=${1//SERVICE/$service}
	local range
	while [[ $entry =~ %([0-9.]+)-([0-9.]+)% ]]; do
		range=${BASH_REMATCH[0]}
		between "${BASH_REMATCH[1]}" "${BASH_REMATCH[2]}"
		entry=${entry/"$range"/$number}
	done
}

# add appends an entry with its time to plan or faults, as the part before | says.
add() {
	local at=$1 entry
	fill "${2#*|}"
	if [[ $2 == plan* ]]; then plan+="{ at = $at, $entry }, "; else faults+="{ at = $at, $entry }, "; fi
}

# write_day FILE NAME SEED LENGTH PLAN FAULTS writes a day to a file; LENGTH is in seconds.
write_day() {
	local file=$1 name=$2 seed=$3 length=$4 plan=$5 faults=$6
	{
		printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = %s\nlength_s = %s\none = 0.7\nzero = 0.3\ngoal = { floor = 0.3 }\n' "$name" "$seed" "$length"
		[[ -z ${SMALL:-} ]] || echo "$twin"
		[[ -z $plan ]] || echo "plan = [ ${plan%, } ]"
		[[ -z $faults ]] || echo "faults = [ ${faults%, } ]"
	} >"$file"
}

# play NAME SEED runs the day in KEEP/NAME.toml and prints its result in one line.
play() {
	local name=$1 seed=$2 file=$keep/$1.toml out=$keep/$1.out
	"$bench" run "$site" "$file" --seed "$seed" --no-cpu ${SMALL:+--small} >"$out" 2>&1 || true
	awk -v n="$name" '$1==n{printf "%-14s worth %s served %s", n, $4, $5; f=1} END{if(!f)printf "%-14s not played", n}' "$out"
	grep -oE 'BROKEN: [A-Z0-9 ,]+' "$out" | head -1 | sed 's/^/  /' | tr -d '\n' || true
	grep -oE 'kind="[a-z_]+"' "$file" | cut -d'"' -f2 | tr '\n' ' ' | sed 's/^/  /'
	echo
}

# play_all DRAW PREFIX DRAWS FIRST generates DRAWS days with the function DRAW and the seeds
# from FIRST on, runs JOBS of them at once, and counts those on which a rule was broken.
play_all() {
	local draw=$1 prefix=$2 draws=$3 first=$4 seed
	for ((seed = first; seed < first + draws; seed++)); do
		("$draw" "$seed" "$keep/$prefix-$seed.toml" && play "$prefix-$seed" "$seed") &
		while (($(jobs -rp | wc -l) >= ${JOBS:-4})); do wait -n || true; done
	done | tee "$keep/lines.txt"
	wait
	echo "$draws days, $(grep -c BROKEN "$keep/lines.txt" || true) with a rule broken, $(grep -c 'not played' "$keep/lines.txt" || true) not played"
}
