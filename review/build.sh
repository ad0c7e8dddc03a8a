#!/bin/sh
# Builds the cases and their stand-ins into review/bin. They need a C compiler
# and the C library only; the nodes are those of the deploy file's build.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.c; do
    [ -f "$source" ] || continue
    gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread -Ikit \
        kit/kit.c "$source" -o "bin/case-$(dirname "$source")"
done
