#!/bin/sh
# Runs every bench program and script. Usage: bench/run.sh BUILD_DIRECTORY
set -u
build=$1
here=$(dirname "$0")
for program in "$build"/bench/*_bench; do
    [ -x "$program" ] || continue
    echo "== $(basename "$program")"
    timeout 300 "$program" || echo "exited $?"
done
for script in "$here"/*_bench.sh; do
    [ -f "$script" ] || continue
    echo "== $(basename "$script")"
    timeout 300 sh "$script" "$build" || echo "exited $?"
done
