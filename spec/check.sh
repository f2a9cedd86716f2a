#!/bin/sh
# Checks every model in spec/ with spin. DEPTH raises the search depth. A model
# names switches on a line "MUTANTS"; with each of them set to 0 the check must
# fail.
set -eu
cd "$(dirname "$0")"

# Builds and runs the model of the present folder; the rest are switches.
search() {
    model=$1
    shift
    spin "$@" -a "$model" >spin.out 2>&1 || { cat spin.out; exit 1; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
    ./pan -m"${DEPTH:-200000}" -w24 >pan.out 2>&1
}

for model in *.pml; do
    [ -e "$model" ] || continue
    work=$(mktemp -d)
    cp "$model" "$work"
    (
        cd "$work"
        search "$model"
        if ! grep -q 'errors: 0' pan.out || grep -q 'max search depth too small' pan.out; then
            cat pan.out
            [ -f "$model.trail" ] && spin -t -p "$model" | tail -n 60
            exit 1
        fi
        echo "$model: $(grep 'states, stored' pan.out | sed 's/^ *//'), errors: 0"
        for mutant in $(sed -n 's/^ \* MUTANTS //p' "$model"); do
            search "$model" "-D$mutant=0"
            if ! grep -q 'assertion violated' pan.out; then
                echo "$model: the fault $mutant=0 is not found"
                exit 1
            fi
            echo "$model: the fault $mutant=0 is found"
        done
    )
    rm -rf "$work"
done
