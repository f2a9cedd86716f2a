#!/bin/sh
# Plays the case cut of review/stand2; see claim.txt. Exits with 1 if the
# rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the
# disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/turmericgate ] || [ ! -x target/review-2/world ]; then
    echo "build target/turmericgate and run review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 118 target/review-2/world cut "$folder" "$here/record.txt"
code=$?
tail -n 2 "$here/record.txt"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
