#!/bin/sh
# Builds the stand-ins of all scripts into target/review/, with the packages
# that the deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -O2 -g -Wall -Wextra -pthread"
libs="$(pkg-config --cflags --libs json-c)"
for case in review/stand/*.c; do
    name="$(basename "$case" .c)"
    [ "$name" = stand ] && continue
    # shellcheck disable=SC2086
    gcc $flags -o "target/review/$name" "$case" review/stand/stand.c $libs
done
