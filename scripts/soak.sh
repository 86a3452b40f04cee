#!/usr/bin/env bash
# Runs a soak test: node processes with simulated callers, operators and machines, under injected
# faults. The last line of standard output is one JSON object; the exit code is 1 if an invariant
# was violated.
#
# Settings: SEED, DURATION, CONTROL, ROUTERS, MACHINES and MODELS; LIMITS=0 disables rate limits of
# machines, STATEMENTS=0 disables Retry-After and shutdown announcements of machines, PARTITIONS=0
# routers partitioned from machines, paused and brittle machines, STREAMS=0 responses in different
# framings and streams that machines cut off, PARTS=0 requests with a prompt part that crashes machines,
# CROWDS=0 spans in which most new connections go to one router. THROTTLE is the share of a processor that each router
# gets, with no other faults than crowds of CROWD_RATE new connections per second. KEEP_RUN=1
# keeps the run directory with the logs; it is always kept after a failure.
#
# GROUPS_CUT=1 partitions whole zones and most routers from all machines, with faults of control nodes and no others.
# RETRIES=1 lets machines reject the first attempts of requests while control nodes restart, and stops routers, with no
# other faults.
#
# CALLERS and CALL_INTERVAL set the load of each router. HOSTS, from 0 to 255, sets which loopback addresses are used: soaks that
# run at the same time need different ones.
#
# FORMER_BIN is a directory with weldnode of a previous release. The nodes start with that build and
# are upgraded one by one, some of them with a rollback in between.
#
# Nodes that exit are restarted. Signals go only to processes started here, by the process IDs in
# the run directory.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${BIN:-$root/bin}
run_dir=$(mktemp -d "${TMPDIR:-/tmp}/weldline-soak.XXXXXX")
control_count=${CONTROL:-4}
router_count=${ROUTERS:-3}
limits_flag=--limits
if [ "${LIMITS:-1}" = 0 ]; then limits_flag=--no-limits; fi
statements_flag=--statements
if [ "${STATEMENTS:-1}" = 0 ]; then statements_flag=--no-statements; fi
partitions_flag=--partitions
if [ "${PARTITIONS:-1}" = 0 ]; then partitions_flag=--no-partitions; fi
streams_flag=--streams
if [ "${STREAMS:-1}" = 0 ]; then streams_flag=--no-streams; fi
parts_flag=--parts
if [ "${PARTS:-1}" = 0 ]; then parts_flag=--no-parts; fi
groups_flag=--no-groups
if [ "${GROUPS_CUT:-0}" = 1 ]; then groups_flag=--groups; fi
retries_flag=--no-retries
if [ "${RETRIES:-0}" = 1 ]; then retries_flag=--retries; fi
crowds_flag=--crowds
if [ "${CROWDS:-1}" = 0 ]; then crowds_flag=--no-crowds; fi
build_flag=--no-former
if [ -n "${FORMER_BIN:-}" ]; then build_flag=--former; fi
# A throttled router would otherwise use all processors while it runs.
if [ -n "${THROTTLE:-}" ]; then export GOMAXPROCS=1; fi
declare -a supervisors=()

log() { echo "soak: $*" >&2; }

supervise() { # name
  while [ -e "$run_dir/keep-running" ]; do
    if [ -e "$run_dir/lose-$1" ]; then # weldsoak simulates the loss of the node's disk.
      mv "$run_dir/data-$1" "$run_dir/lost-$1"
      rm -f "$run_dir/lose-$1"
    fi
    node_bin=$bin
    if [ -e "$run_dir/former-$1" ]; then node_bin=$FORMER_BIN; fi
    WELDLINE_BOOT="$run_dir/$1.yaml" "$node_bin/weldnode" >>"$run_dir/$1.log" 2>&1 &
    echo $! >"$run_dir/$1"
    wait $! || true
    sleep 0.3
  done
}

cleanup() {
  rm -f "$run_dir/keep-running"
  for pid_file in "$run_dir"/control-* "$run_dir"/router-*; do
    if [[ $pid_file =~ -[0-9]+$ && -e $pid_file ]]; then
      kill -CONT "$(cat "$pid_file")" 2>/dev/null || true
      kill -KILL "$(cat "$pid_file")" 2>/dev/null || true
    fi
  done
  wait "${supervisors[@]}" 2>/dev/null || true
  if [ "${KEEP_RUN:-0}" = 1 ] || [ "${result:-1}" != 0 ]; then log "logs kept in $run_dir"; else rm -rf "$run_dir"; fi
}
trap cleanup EXIT

touch "$run_dir/keep-running"
env -u GOMAXPROCS "$bin/weldsoak" --seed "${SEED:-1}" --duration "${DURATION:-30s}" --control "$control_count" --routers "$router_count" --hosts "${HOSTS:-0}" \
  --machines "${MACHINES:-12}" --models "${MODELS:-0}" --run "$run_dir" "$limits_flag" "$statements_flag" "$partitions_flag" "$streams_flag" "$parts_flag" "$crowds_flag" "$groups_flag" "$retries_flag" --callers "${CALLERS:-6}" --call-interval "${CALL_INTERVAL:-60ms}" ${THROTTLE:+--throttle "$THROTTLE"} ${CROWD_RATE:+--crowd-rate "$CROWD_RATE"} "$build_flag" 2>"$run_dir/soak.log" &
soak_pid=$!
for _ in $(seq 1 200); do
  if [ -e "$run_dir/ready" ]; then break; fi
  sleep 0.05
done
for number in $(seq 0 $((control_count - 1))); do supervise "control-$number" & supervisors+=($!); done
for number in $(seq 0 $((router_count - 1))); do supervise "router-$number" & supervisors+=($!); done
result=0
wait "$soak_pid" || result=$?
exit "$result"
