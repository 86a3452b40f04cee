#!/usr/bin/env bash
# Runs a demo cluster on the local host: three nodes and 18 emulated engines. The load consists of a
# burst of requests for cold models, streams and seat holds through all routers; the leader is
# killed under load and restarted.
#
# Listens on free ports and stops only the processes that it started. Progress goes to standard
# error; the last line of standard output is one JSON object. KEEP_RUN=1 keeps the logs.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${BIN:-$root/bin}
run_dir=$(mktemp -d "${TMPDIR:-/tmp}/weldline-demo.XXXXXX")
nodes=3
declare -A pids=()

log() { echo "demo: $*" >&2; }

cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "${KEEP_RUN:-0}" = 1 ]; then log "logs kept in $run_dir"; else rm -rf "$run_dir"; fi
}
trap cleanup EXIT

wait_for() { # description, command...
  local description=$1
  shift
  for _ in $(seq 1 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  log "timed out waiting for $description"
  return 1
}

start_node() { # number
  "$bin/weldline" serve --config "$run_dir/node-$1.yaml" >>"$run_dir/node-$1.log" 2>&1 &
  pids[node-$1]=$!
}

is_ready() { # number
  curl --silent --fail --max-time 1 "http://127.0.0.1:${admin[$1]}/readyz"
}

write_settings() { # number
  local members="" upstreams="127.0.0.1:${control[$1]}"
  for other in $(seq 1 $nodes); do
    members+="    - {id: $other, address: \"127.0.0.1:${control[$other]}\"}"$'\n'
    if [ "$other" != "$1" ]; then upstreams+=", 127.0.0.1:${control[$other]}"; fi
  done
  cat >"$run_dir/node-$1.yaml" <<SETTINGS
cluster: demo
node: node-$1
zone: almaty
roles: [control, router]
dataDir: $run_dir/data-$1
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
  listen: 127.0.0.1:${router[$1]}
  upstreams: [$upstreams]
platform:
  machineList: $platform_url/v1/machines
  storeLoadsPerSecond: 4
  storeConcurrentLoads: 13
SETTINGS
}

log "starting the emulator: 18 engines, the seat ledger, the weight store and the machine list"
"$bin/weldbench" emulate --config "$root/examples/emulators/seatdesk.yaml" --addresses "$run_dir/addresses.json" &
pids[emulator]=$!
wait_for "the emulator" test -s "$run_dir/addresses.json"
platform_url=$(grep -o '"platform": "[^"]*"' "$run_dir/addresses.json" | cut -d'"' -f4)
mapfile -t ledger_urls < <(sed -n '/"seat-ledger"/,/]/p' "$run_dir/addresses.json" | grep -o 'http://[0-9.:]*')

mapfile -t ports < <("$bin/weldbench" ports --count $((nodes * 4)))
declare -a control api router admin
for number in $(seq 1 $nodes); do
  control[number]=${ports[$((number * 4 - 4))]}
  api[number]=${ports[$((number * 4 - 3))]}
  router[number]=${ports[$((number * 4 - 2))]}
  admin[number]=${ports[$((number * 4 - 1))]}
done

log "starting $nodes nodes"
for number in $(seq 1 $nodes); do
  write_settings "$number"
  "$bin/weldline" init --config "$run_dir/node-$number.yaml"
  start_node "$number"
done
servers="http://127.0.0.1:${api[1]},http://127.0.0.1:${api[2]},http://127.0.0.1:${api[3]}"
routers="http://127.0.0.1:${router[1]},http://127.0.0.1:${router[2]},http://127.0.0.1:${router[3]}"
export WELDLINE_API=$servers
for number in $(seq 1 $nodes); do wait_for "node $number" is_ready "$number"; done

log "applying the example resources"
cp -r "$root/examples/ramlochun" "$run_dir/resources"
rm "$run_dir/resources/services.yaml" "$run_dir/resources/limits.yaml"
sed -e "s|http://127.0.0.1:7421|${ledger_urls[0]}|" -e "s|http://127.0.0.1:7422|${ledger_urls[1]}|" \
  -e "s|http://127.0.0.1:7423|${ledger_urls[2]}|" "$root/examples/demo/services.yaml" >"$run_dir/resources/services.yaml"
"$bin/weldctl" apply -f "$run_dir/resources" | tail -n 1 >&2
all_machines_live() { [ "$("$bin/weldctl" get machine | grep -c ' Live')" = 18 ]; }
wait_for "18 live machines" all_machines_live

log "generating load"
"$bin/weldbench" load --routers "$routers" --platform "$platform_url" --service seat-ledger \
  --duration "${DURATION:-18s}" >"$run_dir/summary.txt" &
pids[load]=$!
load_pid=$!

sleep 4
leader=$("$bin/weldctl" status -o json | grep '"leader"' | cut -d'"' -f4)
log "killing the leader, $leader"
kill -KILL "${pids[$leader]}"
wait "${pids[$leader]}" 2>/dev/null || true
sleep 5
log "restarting $leader"
start_node "${leader#node-}"

result=0
wait "$load_pid" || result=$?
unset 'pids[load]'
cat "$run_dir/summary.txt"
exit "$result"
