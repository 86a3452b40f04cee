#!/usr/bin/env bash
# A soak: real nodes as processes of their own, callers, operators and machines before them, and
# faults from outside. The last line of standard output is one JSON object; the exit code is 1
# where a promise was broken. SEED, DURATION, CONTROL, ROUTERS, MACHINES, MODELS, LIMITS=0 and STATEMENTS=0 change it; KEEP_RUN=1
# keeps the folder with the logs, and so does a promise that was broken.
#
# FORMER_BIN names a folder with the weldnode of a former build: the nodes begin with that, and are
# replaced one after the other, some of them back and forth.
#
# Each node is started here again after it has ended. Only processes that were started here are
# signalled, by the ids in the run's folder.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${BIN:-$root/bin}
run=$(mktemp -d "${TMPDIR:-/tmp}/weldline-soak.XXXXXX")
control=${CONTROL:-4}
routers=${ROUTERS:-3}
limits=--limits
if [ "${LIMITS:-1}" = 0 ]; then limits=--no-limits; fi
statements=--statements
if [ "${STATEMENTS:-1}" = 0 ]; then statements=--no-statements; fi
former=--no-former
if [ -n "${FORMER_BIN:-}" ]; then former=--former; fi
declare -a supervisors=()

say() { echo "soak: $*" >&2; }

supervise() { # name
  while [ -e "$run/keep-running" ]; do
    if [ -e "$run/lose-$1" ]; then # The soak's mark that the node's disk is lost.
      mv "$run/data-$1" "$run/lost-$1"
      rm -f "$run/lose-$1"
    fi
    build=$bin
    if [ -e "$run/former-$1" ]; then build=$FORMER_BIN; fi
    WELDLINE_BOOT="$run/$1.yaml" "$build/weldnode" >>"$run/$1.log" 2>&1 &
    echo $! >"$run/$1"
    wait $! || true
    sleep 0.3
  done
}

cleanup() {
  rm -f "$run/keep-running"
  for file in "$run"/control-? "$run"/router-?; do
    if [ -e "$file" ]; then
      kill -CONT "$(cat "$file")" 2>/dev/null || true
      kill -KILL "$(cat "$file")" 2>/dev/null || true
    fi
  done
  wait "${supervisors[@]}" 2>/dev/null || true
  if [ "${KEEP_RUN:-0}" = 1 ] || [ "${result:-1}" != 0 ]; then say "logs kept in $run"; else rm -rf "$run"; fi
}
trap cleanup EXIT

touch "$run/keep-running"
"$bin/weldsoak" --seed "${SEED:-1}" --duration "${DURATION:-30s}" --control "$control" --routers "$routers" \
  --machines "${MACHINES:-12}" --models "${MODELS:-0}" --run "$run" "$limits" "$statements" "$former" 2>"$run/soak.log" &
soak=$!
for _ in $(seq 1 200); do
  if [ -e "$run/ready" ]; then break; fi
  sleep 0.05
done
for number in $(seq 0 $((control - 1))); do supervise "control-$number" & supervisors+=($!); done
for number in $(seq 0 $((routers - 1))); do supervise "router-$number" & supervisors+=($!); done
result=0
wait "$soak" || result=$?
exit "$result"
