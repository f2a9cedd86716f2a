#!/bin/sh
# Checks rules of the house style that clang-format does not cover.
set -u
bad=0
complain() {
    echo "style: $1"
    bad=1
}
files=$(find src test bench -name '*.[ch]' ! -name '*.pb-c.[ch]' 2>/dev/null)
for file in $files; do
    if grep -nE '\btypedef struct\b' "$file"; then
        complain "$file: use struct tags instead of typedefs"
    fi
    if grep -nE '\b(usleep|sleep|nanosleep|g_usleep|sched_yield)\(' "$file"; then
        complain "$file: wait on an event instead of sleeping"
    fi
    if grep -nEi 'copyright|licen[sc]e|spdx' "$file"; then
        complain "$file: source files carry no licence text"
    fi
done
for header in $(find src -name '*.h' ! -name '*.pb-c.h'); do
    if grep -nE '^#include "' "$header"; then
        complain "$header: headers include no headers of the project"
    fi
done
exit $bad
