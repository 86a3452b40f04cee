#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The deploy file builds target/weldnode.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin
