# Functions of the scripts that draw days and play them, sourced by them. They use
# bench, site, keep, service, twin, plan and faults, and SMALL and JOBS of the environment.

# A command substitution seeds RANDOM anew: what draws returns its result in a variable, so
# that the same seed draws the same day.

# between draws a number between two bounds, in hundredths, into number.
between() {
	local r=$RANDOM
	number=$(awk -v a="$1" -v b="$2" -v r="$r" 'BEGIN{printf "%.2f", a+(b-a)*r/32767}')
}

# fill fills in the numbers of an entry, into entry: %A-B% is drawn between A and B.
fill() {
	entry=${1//SERVICE/$service}
	local range
	while [[ $entry =~ %([0-9.]+)-([0-9.]+)% ]]; do
		range=${BASH_REMATCH[0]}
		between "${BASH_REMATCH[1]}" "${BASH_REMATCH[2]}"
		entry=${entry/"$range"/$number}
	done
}

# add puts an entry at a time into plan or faults, as its first word says.
add() {
	local at=$1 entry
	fill "${2#*|}"
	if [[ $2 == plan* ]]; then plan+="{ at = $at, $entry }, "; else faults+="{ at = $at, $entry }, "; fi
}

# write_day writes a day to a file: its name, seed, length in seconds, plan and faults.
write_day() {
	local file=$1 name=$2 seed=$3 length=$4 plan=$5 faults=$6
	{
		printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = %s\nlength_s = %s\none = 0.7\nzero = 0.3\ngoal = { floor = 0.3 }\n' "$name" "$seed" "$length"
		[[ -z ${SMALL:-} ]] || echo "$twin"
		[[ -z $plan ]] || echo "plan = [ ${plan%, } ]"
		[[ -z $faults ]] || echo "faults = [ ${faults%, } ]"
	} >"$file"
}

# play plays a day that was written to KEEP/NAME.toml and prints a line of it.
play() {
	local name=$1 seed=$2 file=$keep/$1.toml out=$keep/$1.out
	"$bench" run "$site" "$file" --seed "$seed" --no-cpu ${SMALL:+--small} >"$out" 2>&1 || true
	awk -v n="$name" '$1==n{printf "%-14s worth %s served %s", n, $4, $5; f=1} END{if(!f)printf "%-14s not played", n}' "$out"
	grep -oE 'BROKEN: [A-Z0-9 ,]+' "$out" | head -1 | sed 's/^/  /' | tr -d '\n' || true
	grep -oE 'kind="[a-z_]+"' "$file" | cut -d'"' -f2 | tr '\n' ' ' | sed 's/^/  /'
	echo
}

# play_all draws and plays the days of some seeds, JOBS at once, with the function named by
# the first argument, and counts those with a rule broken.
play_all() {
	local draw=$1 prefix=$2 draws=$3 first=$4 seed
	for ((seed = first; seed < first + draws; seed++)); do
		("$draw" "$seed" "$keep/$prefix-$seed.toml" && play "$prefix-$seed" "$seed") &
		while (($(jobs -rp | wc -l) >= ${JOBS:-4})); do wait -n || true; done
	done | tee "$keep/lines.txt"
	wait
	echo "$draws days, $(grep -c BROKEN "$keep/lines.txt" || true) with a rule broken, $(grep -c 'not played' "$keep/lines.txt" || true) not played"
}
