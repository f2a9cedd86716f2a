#!/bin/sh
# run_case.sh CASE PROGRAM: runs a built stand-in program for a case.
set -eu
here="$(cd "$(dirname "$0")" && pwd)"
program="$here/../target/review/$2"
if [ ! -x "$program" ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
temporary="$(mktemp -d)"
code=0
"$program" "$here/$1" "$(cd "$here/.." && pwd)" "$temporary" || code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs in $temporary"
else
    rm -rf "$temporary"
fi
exit "$code"
