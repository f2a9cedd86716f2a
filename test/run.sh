#!/bin/sh
# Runs GLib test programs, JOBS at a time, and prints the total of their
# results. Tests listed in KNOWN-RED.txt (lines "PROGRAM /TEST/PATH ...") are
# skipped and printed.
set -u
root=$(dirname "$0")/..
jobs=${JOBS:-4}

# Runs one program and writes its output and exit code to the directory $out.
run_one() {
    program=$1
    name=$(basename "$program")
    file=$out/$(echo "$program" | tr / _)
    skip=""
    if [ -f "$root/KNOWN-RED.txt" ]; then
        for path in $(awk -v n="$name" '$1 == n {print $2}' \
            "$root/KNOWN-RED.txt"); do
            echo "known red, passed over: $name $path"
            skip="$skip -s $path"
        done
    fi
    # The slice allocator of GLib 2.74 reuses memory across threads, which the
    # thread sanitizer reports as data races.
    # shellcheck disable=SC2086
    G_SLICE=always-malloc timeout 500 "$program" --tap $skip \
        >"$file.out" 2>"$file.err"
    echo $? >"$file.code"
}

if [ "${1:-}" = --one ]; then
    out=$2
    run_one "$3"
    exit 0
fi

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
passed=0
failed=0
printf '%s\n' "$@" | xargs -P "$jobs" -I '{}' sh "$0" --one "$out" '{}'
for program in "$@"; do
    file=$out/$(echo "$program" | tr / _)
    code=$(cat "$file.code")
    p=$(grep -c '^ok ' "$file.out")
    f=$(grep -c '^not ok ' "$file.out")
    if [ "$code" -ne 0 ] && [ "$f" -eq 0 ]; then
        f=1
    fi
    if [ "$f" -ne 0 ]; then
        echo "--- $program exited $code"
        cat "$file.out"
        tail -n 60 "$file.err"
    else
        echo "$program: $p ok"
    fi
    passed=$((passed + p))
    failed=$((failed + f))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
