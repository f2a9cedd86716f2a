#!/bin/sh
# Builds the stand-ins of the cases of the second review, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# shellcheck disable=SC2046
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Ireview/stand2 \
    -o target/review-2/world review/stand2/world.c review/stand2/cases.c \
    $(pkg-config --cflags --libs glib-2.0 json-c)
