#!/bin/sh
# Installs the Debian packages that the build, the tests and the bench need.
set -eu

packages="meson ninja-build gcc pkg-config libc6-dev libevent-dev
libevhtp-dev libprotobuf-c-dev libjson-c-dev libcunit1-dev uthash-dev
libxxhash-dev libhttp-parser-dev nettle-dev zlib1g-dev scdoc clang clang-format clang-tidy libclang-rt-14-dev
python3 gnuplot-nox curl"

missing=""
for package in $packages; do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
