#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -eu
packages="gcc make cmake pkg-config git curl libapr1-dev libmsgpack-dev libjson-c-dev
libcurl4-openssl-dev libmicrohttpd-dev libsodium-dev liburcu-dev libcunit1-dev
clang clang-format clang-tidy libclang-rt-14-dev python3-jinja2 python3-yaml spin gnuplot-nox"
missing=""
for package in $packages; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
