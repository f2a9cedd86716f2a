#!/bin/sh
# Checks every model in spec/ with spin. DEPTH raises the search depth.
set -eu
cd "$(dirname "$0")"
for model in *.pml; do
    [ -e "$model" ] || continue
    work=$(mktemp -d)
    cp "$model" "$work"
    (
        cd "$work"
        spin -a "$model" >spin.out 2>&1 || { cat spin.out; exit 1; }
        gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
        ./pan -m"${DEPTH:-200000}" -w24 >pan.out 2>&1
        if ! grep -q 'errors: 0' pan.out || grep -q 'max search depth too small' pan.out; then
            cat pan.out
            [ -f "$model.trail" ] && spin -t -p "$model" | tail -n 60
            exit 1
        fi
        echo "$model: $(grep 'states, stored' pan.out | sed 's/^ *//'), errors: 0"
    )
    rm -rf "$work"
done
