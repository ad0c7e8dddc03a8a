#!/bin/sh
# Builds the cases from 6 on and their stand-ins into target/review-2. They
# need a C compiler and the C library only; the nodes are those of the deploy
# file's build.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for number in 6 7 8 9 10; do
    [ -f "$number/case.c" ] || continue
    gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread -Ikit-2 \
        kit-2/world.c "$number/case.c" -o "$out/case-$number"
done
