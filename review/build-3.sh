#!/bin/sh
# Builds the stand-ins of the third review into build/stand3/, with the
# packages that the build of the project needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/stand3
flags="$(pkg-config --cflags --libs glib-2.0 json-c)"
for source in review/stand3/case_*.c; do
    name="$(basename "$source" .c)"
    # shellcheck disable=SC2086
    gcc -std=gnu11 -O1 -g -Wall -Wextra -Werror -pthread \
        -o "build/stand3/$name" "$source" review/stand3/stand3.c $flags
done
