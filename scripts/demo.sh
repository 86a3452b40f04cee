#!/usr/bin/env bash
# Runs the main job on one machine: a fleet of three nodes before 18 emulated
# engines, a burst to cold models through all routers, streams and seat holds,
# and the loss of the leading node in the midst of it.
#
# All processes are started here, on ports chosen by the kernel, and only
# these are stopped. Progress goes to standard error; the last line of
# standard output is one JSON object.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${BIN:-$root/bin}
run=$(mktemp -d "${TMPDIR:-/tmp}/weldline-demo.XXXXXX")
nodes=3
declare -A processes=()

say() { echo "demo: $*" >&2; }

cleanup() {
  for process in "${processes[@]}"; do kill -TERM "$process" 2>/dev/null || true; done
  for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
  if [ "${KEEP_RUN:-0}" = 1 ]; then say "logs kept in $run"; else rm -rf "$run"; fi
}
trap cleanup EXIT

wait_for() { # description, command...
  local what=$1
  shift
  for _ in $(seq 1 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  say "gave up waiting for $what"
  return 1
}

start_node() { # number
  "$bin/weldline" serve --config "$run/node-$1.yaml" >>"$run/node-$1.log" 2>&1 &
  processes[node-$1]=$!
}

ready() { # number
  curl --silent --fail --max-time 1 "http://127.0.0.1:${admin[$1]}/readyz"
}

write_settings() { # number
  local members="" upstreams="127.0.0.1:${control[$1]}"
  for other in $(seq 1 $nodes); do
    members+="    - {id: $other, address: \"127.0.0.1:${control[$other]}\"}"$'\n'
    if [ "$other" != "$1" ]; then upstreams+=", 127.0.0.1:${control[$other]}"; fi
  done
  cat >"$run/node-$1.yaml" <<SETTINGS
cluster: demo
node: node-$1
zone: almaty
roles: [control, router]
dataDir: $run/data-$1
admin: 127.0.0.1:${admin[$1]}
control:
  id: $1
  api: 127.0.0.1:${api[$1]}
  electionTimeout: 500ms
  heartbeatInterval: 50ms
  leaseMargin: 50ms
  members:
$members
router:
  listen: 127.0.0.1:${callers[$1]}
  upstreams: [$upstreams]
platform:
  machineList: $platform/v1/machines
  storeLoadsPerSecond: 4
  storeConcurrentLoads: 13
SETTINGS
}

say "starting 18 emulated engines, a ledger, the weight store and the machine list"
"$bin/weldbench" emulate --config "$root/examples/emulators/seatdesk.yaml" --addresses "$run/addresses.json" &
processes[emulator]=$!
wait_for "the emulator" test -s "$run/addresses.json"
platform=$(grep -o '"platform": "[^"]*"' "$run/addresses.json" | cut -d'"' -f4)
mapfile -t ledger < <(sed -n '/"seat-ledger"/,/]/p' "$run/addresses.json" | grep -o 'http://[0-9.:]*')

mapfile -t ports < <("$bin/weldbench" ports --count $((nodes * 4)))
declare -a control api callers admin
for number in $(seq 1 $nodes); do
  control[number]=${ports[$((number * 4 - 4))]}
  api[number]=${ports[$((number * 4 - 3))]}
  callers[number]=${ports[$((number * 4 - 2))]}
  admin[number]=${ports[$((number * 4 - 1))]}
done

say "starting $nodes nodes"
for number in $(seq 1 $nodes); do
  write_settings "$number"
  "$bin/weldline" init --config "$run/node-$number.yaml"
  start_node "$number"
done
servers="http://127.0.0.1:${api[1]},http://127.0.0.1:${api[2]},http://127.0.0.1:${api[3]}"
routers="http://127.0.0.1:${callers[1]},http://127.0.0.1:${callers[2]},http://127.0.0.1:${callers[3]}"
export WELDLINE_API=$servers
for number in $(seq 1 $nodes); do wait_for "node $number" ready "$number"; done

say "applying the example resources"
cp -r "$root/examples/ramlochun" "$run/resources"
rm "$run/resources/services.yaml" "$run/resources/limits.yaml"
sed -e "s|http://127.0.0.1:7421|${ledger[0]}|" -e "s|http://127.0.0.1:7422|${ledger[1]}|" \
  -e "s|http://127.0.0.1:7423|${ledger[2]}|" "$root/examples/demo/services.yaml" >"$run/resources/services.yaml"
"$bin/weldctl" apply -f "$run/resources" | tail -n 1 >&2
all_machines() { [ "$("$bin/weldctl" get machine | grep -c ' Live')" = 18 ]; }
wait_for "18 live machines" all_machines

say "sending the load"
"$bin/weldbench" load --routers "$routers" --platform "$platform" --service seat-ledger \
  --duration "${DURATION:-18s}" >"$run/summary.txt" &
processes[load]=$!
load=$!

sleep 4
leader=$("$bin/weldctl" status -o json | grep '"leader"' | cut -d'"' -f4)
say "killing the leading node, $leader"
kill -KILL "${processes[$leader]}"
wait "${processes[$leader]}" 2>/dev/null || true
sleep 5
say "starting $leader again"
start_node "${leader#node-}"

result=0
wait "$load" || result=$?
unset 'processes[load]'
cat "$run/summary.txt"
exit "$result"
