#!/usr/bin/env bash
# Starts a fleet of a given size on this machine and measures what each role
# costs: three voters and a standby, relays, processes of hollow routers, two
# real routers, and emulated engines. Prints one JSON object.
#
#   NODES=350 WORKERS=1100 MODELS=890 ADAPTERS=3000 scripts/capacity.sh
#
# Only processes started here are stopped. Progress goes to standard error.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${BIN:-$root/bin}
run=$(mktemp -d "${TMPDIR:-/tmp}/weldline-capacity.XXXXXX")
NODES=${NODES:-350}
WORKERS=${WORKERS:-1100}
MODELS=${MODELS:-890}
ADAPTERS=${ADAPTERS:-3000}
CHANGES=${CHANGES:-6300}
LOADS=${LOADS:-910}
RELAYS=${RELAYS:-7}
HOSTS=${HOSTS:-7}
ZONES=${ZONES:-24}
PHASE=${PHASE:-20s}
SPEED_UP=${SPEED_UP:-30}
controls=4
processes=()

cleanup() {
  for process in "${processes[@]}"; do kill -TERM "$process" 2>/dev/null || true; done
  for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
  if [ "${KEEP_RUN:-0}" = 1 ]; then echo "capacity: logs kept in $run" >&2; else rm -rf "$run"; fi
}
trap cleanup EXIT

declare -A process_of=() command_of=()

start() { # name, command...
  local name=$1
  shift
  command_of[$name]="$*"
  "$@" >>"$run/$name.log" 2>&1 &
  processes+=($!)
  process_of[$name]=$!
}

# Kills a process started here without warning, and starts it again.
crash() { # name, seconds until it comes back
  echo "capacity: killing $1" >&2
  kill -KILL "${process_of[$1]}" 2>/dev/null || true
  wait "${process_of[$1]}" 2>/dev/null || true
  sleep "$2"
  # shellcheck disable=SC2086
  start "$1" ${command_of[$1]}
}

# The faults of the phase of that name: the leader, a rack (a relay), and a
# region (all nodes of one process) are lost and come back.
faults() {
  while [ "$(cat "$run/phase" 2>/dev/null)" != faults ]; do
    kill -0 "$driver" 2>/dev/null || return 0
    sleep 0.2
  done
  sleep 2
  local leader
  leader=$("$bin/weldctl" --server "$(echo "${apis%,}" | tr -d '"')" status -o json | grep '"leader"' | cut -d'"' -f4)
  crash "$leader" 2
  crash relay-1 2
  crash hollow-1 3
}

zones=""
for zone in $(seq 1 "$ZONES"); do zones+="zone-$(printf %02d "$zone"),"; done
zones=${zones%,}

cat >"$run/emulator.yaml" <<SETTINGS
machines: {count: $WORKERS, zones: [$zones], accelerators: 8, acceleratorBytes: 85899345920, listLag: 1s}
engine: {reportLag: 500ms, memoryBytesPerSecond: 4e12, diskBytesPerSecond: 4e12}
store: {loadsPerSecond: 1000, concurrentLoads: 1000, bytesPerSecond: 4e12}
SETTINGS
start emulator "$bin/weldbench" emulate --config "$run/emulator.yaml" --addresses "$run/addresses.json"
for _ in $(seq 1 200); do [ -s "$run/addresses.json" ] && break; sleep 0.1; done
platform=$(grep -o '"platform": "[^"]*"' "$run/addresses.json" | cut -d'"' -f4)

mapfile -t ports < <("$bin/weldbench" ports --count $((controls * 3 + RELAYS * 2 + HOSTS + 4)))
next=0
port() { echo "127.0.0.1:${ports[$next]}"; }
members=""
upstreams=""
declare -a control_address
for number in $(seq 1 $controls); do
  control_address[number]=$(port)
  next=$((next + 1))
  learner=false
  if [ "$number" = $controls ]; then learner=true; fi
  members+="    - {id: $number, address: \"${control_address[$number]}\", learner: $learner}"$'\n'
  upstreams+="${control_address[$number]}, "
done
upstreams=${upstreams%, }
fleet=""
apis=""
for number in $(seq 1 $controls); do
  admin=$(port); next=$((next + 1))
  api=$(port); next=$((next + 1))
  cat >"$run/control-$number.yaml" <<SETTINGS
cluster: capacity
node: control-$number
zone: zone-0$number
roles: [control]
logLevel: warn
dataDir: $run/data-$number
admin: $admin
control:
  id: $number
  api: $api
  members:
$members
platform:
  machineList: $platform/v1/machines
  storeLoadsPerSecond: 1000
  storeConcurrentLoads: 1000
SETTINGS
  "$bin/weldline" init --config "$run/control-$number.yaml"
  start "control-$number" "$bin/weldline" serve --config "$run/control-$number.yaml"
  fleet+="{\"name\":\"control-$number\",\"role\":\"control\",\"admin\":\"http://$admin\",\"nodes\":1},"
  apis+="\"http://$api\","
done
relays=""
for number in $(seq 1 "$RELAYS"); do
  admin=$(port); next=$((next + 1))
  listen=$(port); next=$((next + 1))
  cat >"$run/relay-$number.yaml" <<SETTINGS
cluster: capacity
node: relay-$number
zone: zone-0$number
roles: [relay]
logLevel: warn
admin: $admin
relay:
  listen: $listen
  upstreams: [$upstreams]
SETTINGS
  start "relay-$number" "$bin/weldline" serve --config "$run/relay-$number.yaml"
  fleet+="{\"name\":\"relay-$number\",\"role\":\"relay\",\"admin\":\"http://$admin\",\"nodes\":1},"
  relays+="$listen,"
done
relays=${relays%,}
routers=""
for number in 1 2; do
  admin=$(port); next=$((next + 1))
  listen=$(port); next=$((next + 1))
  cat >"$run/router-$number.yaml" <<SETTINGS
cluster: capacity
node: router-$number
zone: zone-0$number
roles: [router]
logLevel: warn
admin: $admin
router:
  listen: $listen
  upstreams: [${relays//,/, }]
SETTINGS
  start "router-$number" "$bin/weldline" serve --config "$run/router-$number.yaml"
  fleet+="{\"name\":\"router-$number\",\"role\":\"router\",\"admin\":\"http://$admin\",\"nodes\":1},"
  routers+="\"http://$listen\","
done
hollow=$((NODES - 2))
first=1
for host in $(seq 1 "$HOSTS"); do
  count=$((hollow / HOSTS + (host <= hollow % HOSTS ? 1 : 0)))
  [ "$count" -gt 0 ] || continue
  admin=$(port); next=$((next + 1))
  start "hollow-$host" "$bin/weldbench" hollow --cluster capacity --first $first --count $count \
    --zones "$zones" --upstreams "$relays" --admin "$admin"
  fleet+="{\"name\":\"hollow-$host\",\"role\":\"hollow\",\"admin\":\"http://$admin\",\"nodes\":$count},"
  first=$((first + count))
done
cat >"$run/fleet.json" <<FLEET
{"processes":[${fleet%,}],"api":[${apis%,}],"routers":[${routers%,}],"platform":"$platform",
 "size":{"nodes":$NODES,"workers":$WORKERS,"models":$MODELS,"adapters":$ADAPTERS,"changesPerDay":$CHANGES,"loadsPerHour":$LOADS}}
FLEET
"$bin/weldbench" capacity --fleet "$run/fleet.json" --phase "$PHASE" --speed-up "$SPEED_UP" \
  --phase-file "$run/phase" ${FAULTS:+--faults} ${JSON:+--json} &
driver=$!
processes+=("$driver")
if [ -n "${FAULTS:-}" ]; then faults; fi
wait "$driver"
