#!/bin/sh
# Installs the Debian packages that the build and the checks need.
set -eu
packages="gcc make pkg-config clang-format cppcheck spin libulfius-dev
libprotobuf-c-dev libjson-c-dev libglib2.0-dev libxxhash-dev libcurl4-gnutls-dev libhttp-parser-dev curl"
missing=""
for package in $packages; do
    if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
        grep -q 'ok installed'; then
        missing="$missing $package"
    fi
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" -ne 0 ]; then
    echo "deps: run as root or install:$missing" >&2
    exit 1
fi
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing
