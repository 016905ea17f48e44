#!/usr/bin/env bash
# End-to-end demo on loopback, with separate processes: a platform stand-in, two
# versions of a model, one plain service and three daemons in two data halls.
# Edits the table while requests run. Exits 0 only if the counts of sent, answered
# and billed requests agree. Stops all processes that it started, also on failure.
set -eu

here=$(cd "$(dirname "$0")" && pwd)
bin=${BIN:-$here/../bin}
work=$(mktemp -d)
pids=()
daemons=()
platform=127.0.0.1:19000
export LADDERRIDGE_PLATFORM=http://$platform
export LADDERRIDGE_ADMIN=127.0.0.1:19211,127.0.0.1:19212,127.0.0.1:19213

finish() {
	status=$?
	for pid in "${daemons[@]}" "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ "$status" -ne 0 ]; then tell_why >&2; fi
	rm -rf "$work"
	exit "$status"
}
trap finish EXIT

tell_why() { # prints errors from all logs: the last lines of a log are from the shutdown and rarely show the cause
	ls "$work"/*.log >/dev/null 2>&1 || return 0
	echo "the demo failed; warnings and errors in the logs of its processes:"
	(cd "$work" && grep -HE '"level":"(warn|error|fatal)"|[Ee]rror|address already in use' ./*.log | tail -n 30) || echo "none found"
	(cd "$work" && grep -HE '^refused [a-z_]+:' ./*.txt) || true
}

free() { # ADDRESS...: fails if one is in use, and names the first such address
	local addr
	for addr in "$@"; do
		if (exec 3<>"/dev/tcp/${addr%:*}/${addr#*:}") 2>/dev/null; then
			echo "$addr is already in use: stop the process that listens there and start the demo again" >&2
			return 1
		fi
	done
}

start() { # NAME COMMAND...: starts a stand-in in the background, with its output in NAME.log
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
}

until_ok() { # COMMAND...: runs it every 0.1 s until it succeeds; fails after 200 attempts (20 s)
	for _ in $(seq 200); do
		"$@" >"$work/last.out" 2>&1 && return 0
		sleep 0.1
	done
	echo "command did not succeed in 200 attempts: $*; its last output:" >&2
	cat "$work/last.out" >&2
	return 1
}

field() { sed -n "s/^$1: \([0-9]*\) .*/\1/p" "$2"; }

say() { printf '\n== %s\n' "$*"; }

free $platform 127.0.0.1:1910{1,2,3} 127.0.0.1:192{0,1}{1,2,3} 127.0.0.1:1930{0,1,2,3} 127.0.0.1:193{1,2,3}{1,2}

say "creating keys, settings and the table"
voluntas_key=demo-key-of-voluntas
licence_key=demo-key-of-the-licence-desk
"$bin/ladderridge" keys authority --dir "$work"
pin_key=$("$bin/ladderridge" keys pin)
sed -e "s/VOLUNTAS_KEY/$(echo $voluntas_key | "$bin/ladderridge" keys hash)/" \
	-e "s/LICENCE_KEY/$(echo $licence_key | "$bin/ladderridge" keys hash)/" "$here/table-1.csv" >"$work/table-1.csv"
"$bin/ladderridge" table check "$work/table-1.csv"

vms='[{"id":"engine-v1","role":"engine","hall":"vad-hall-a","addr":"127.0.0.1:19101"},
{"id":"engine-v2","role":"engine","hall":"vad-hall-b","addr":"127.0.0.1:19102"},
{"id":"broker-1","role":"service","service":"lic-broker","hall":"vad-hall-a","addr":"127.0.0.1:19103"}'
n=0
for hall in vad-hall-a vad-hall-a vad-hall-b; do
	n=$((n + 1))
	vms="$vms,{\"id\":\"entry-$n\",\"role\":\"entry\",\"hall\":\"$hall\",\"addr\":\"127.0.0.1:1920$n\",\"admin\":\"127.0.0.1:1921$n\",\"peer\":\"127.0.0.1:1922$n\"}"
	"$bin/ladderridge" keys daemon "entry-$n" --dir "$work"
	cat >"$work/entry-$n.ini" <<INI
[daemon]
id = entry-$n
hall = $hall
callers = 127.0.0.1:1920$n
admin = 127.0.0.1:1921$n
peers = 127.0.0.1:1922$n
[platform]
url = http://$platform
[tls]
certificate = $work/entry-$n.pem
key = $work/entry-$n.key
authority = $work/authority.pem
[sessions]
pin_keys = $pin_key
[stop]
notice = 500ms
grace = 20s
INI
	"$bin/ladderridged" check-config --config "$work/entry-$n.ini"
done
echo "$vms]" >"$work/vms.json"

say "starting three stand-ins, the platform and three daemons"
start platform "$bin/ladderridge" standin platform --listen $platform --vms "$work/vms.json"
start engine-v1 "$bin/ladderridge" standin engine --listen 127.0.0.1:19101 --id engine-v1 --model roster --model-version v1 --pace 2ms
start engine-v2 "$bin/ladderridge" standin engine --listen 127.0.0.1:19102 --id engine-v2 --model roster --model-version v2 --pace 2ms
start broker "$bin/ladderridge" standin service --listen 127.0.0.1:19103 --id broker-1
until_ok "$bin/ladderridge" table history
for n in 1 2 3; do
	"$bin/ladderridged" --config "$work/entry-$n.ini" >"$work/entry-$n.log" 2>&1 &
	daemons+=($!)
done
until_ok "$bin/ladderridge" halls
"$bin/ladderridge" table apply --from 0 --note "first table" "$work/table-1.csv"
"$bin/ladderridge" table export >"$work/exported.csv"
"$bin/ladderridge" table check "$work/exported.csv"
callers=http://127.0.0.1:19201,http://127.0.0.1:19202,http://127.0.0.1:19203
for n in 1 2 3; do
	until_ok "$bin/ladderridge" load --target http://127.0.0.1:1920$n --key $licence_key --model roster -n 1 --workers 1 --tokens 1
	until_ok sh -c "'$bin/ladderridge' dump --admin 127.0.0.1:1921$n | grep -c 'roster@v' | grep -qx 2"
done
warm=3

send() { # NAME ARGS...: sends requests in the background
	local name=$1
	shift
	"$bin/ladderridge" load --target $callers "$@" >"$work/$name.txt" 2>&1 &
	senders+=($!)
}
senders=()

say "requests of two organisations, streamed, not streamed and in sessions, while the weights are edited"
send voluntas-stream --key $voluntas_key --model roster --stream -n 300 --workers 6 --pause 20ms
send voluntas-session --key $voluntas_key --model roster -n 200 --workers 4 --sessions 40 --pause 20ms
send licence --key $licence_key --model auto -n 200 --workers 4 --pause 20ms
sed 's/^\(allow,voluntas,roster,v1,,\)50/\110/; s/^\(allow,voluntas,roster,v2,,\)50/\190/' "$work/table-1.csv" >"$work/table-2.csv"
"$bin/ladderridge" table diff "$work/table-2.csv"
"$bin/ladderridge" table apply --from 1 --note "v2 gets 90%" "$work/table-2.csv"

say "an edit of an outdated table is refused and shows the changes of the other operator"
if "$bin/ladderridge" table apply --from 1 --note "too late" "$work/table-1.csv"; then exit 1; fi

say "a call that may not be repeated, sent twice with the same idempotency key"
call() { "$bin/ladderridge" call "http://127.0.0.1:1920$1/services/lic-broker/checkout" --key $licence_key -H "Idempotency-Key: seat-17" -d seat=17; }
call 1
call 3

for pid in "${senders[@]}"; do wait "$pid"; done
senders=()

say "v2 is withdrawn while requests run"
send voluntas-after --key $voluntas_key --model roster --stream -n 200 --workers 4 --pause 20ms
sed 's/^version,,roster,v2,steady/version,,roster,v2,withdrawn/' "$work/table-2.csv" >"$work/table-3.csv"
"$bin/ladderridge" table apply --from 2 --note "withdraw v2" "$work/table-3.csv"
for pid in "${senders[@]}"; do wait "$pid"; done
"$bin/ladderridge" load --target $callers --key $voluntas_key --model roster -n 60 --workers 2 >"$work/voluntas-last.txt"
"$bin/ladderridge" table history

say "the routing decisions of some requests, explained"
for name in voluntas-stream voluntas-session licence voluntas-last; do
	request=$(sed -n 's/^request: //p' "$work/$name.txt" | tail -n 1)
	"$bin/ladderridge" explain "$request"
done

say "planned stop of the daemons"
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do wait "$pid"; done
daemons=()

say "gateways configured by a platform stand-in, and the planned stop of one of two under load"
start site "$bin/ladderridge" standin site --store 127.0.0.1:19300 --servers 127.0.0.1:19301,127.0.0.1:19302,127.0.0.1:19303
for n in 1 2; do
	cat >"$work/gateway-$n.ini" <<INI
[daemon]
id = gateway-$n
hall = hall
callers = 127.0.0.1:1931$n
readiness = 127.0.0.1:1932$n
admin = 127.0.0.1:1933$n
peers = 127.0.0.1:1934$n
[store]
url = http://127.0.0.1:19300
INI
	"$bin/ladderridged" gateway check-config --config "$work/gateway-$n.ini"
	"$bin/ladderridged" gateway --config "$work/gateway-$n.ini" >"$work/gateway-$n.log" 2>&1 &
	daemons+=($!)
	until_ok "$bin/ladderridge" standin callers --target 127.0.0.1:1931$n -n 2
done
"$bin/ladderridge" standin callers --target 127.0.0.1:19311,127.0.0.1:19312 -n 200
"$bin/ladderridge" standin callers --target 127.0.0.1:19312 -n 200 &
asking=$!
kill -TERM "${daemons[0]}"
wait "${daemons[0]}"
wait "$asking"
kill -TERM "${daemons[1]}"
wait "${daemons[1]}"
daemons=()

say "final counts"
sent=0 whole=0 refused=0
for name in voluntas-stream voluntas-session licence voluntas-after voluntas-last; do
	sent=$((sent + $(field sent "$work/$name.txt")))
	whole=$((whole + $(field "answered whole" "$work/$name.txt")))
	refused=$((refused + $(field refused "$work/$name.txt")))
	printf '%-18s %s\n' "$name" "$(sed -n 's/^version \(.*\): \([0-9]*\) requests/\1=\2/p' "$work/$name.txt" | tr '\n' ' ')"
done
"$bin/ladderridge" bills
billed=$("$bin/ladderridge" bills | awk '$1 == "all" {print $2}')
v2_last=$(field "version roster@v2" "$work/voluntas-last.txt")
echo "sent: $sent, answered whole: $whole, refused: $refused, billed: $((billed - warm)) (one of them the checkout)"
[ "$sent" -eq $((whole + refused)) ]
[ "$refused" -eq 0 ]
[ "$((billed - warm))" -eq $((whole + 1)) ]
[ -z "$v2_last" ]
echo "the counts agree"
