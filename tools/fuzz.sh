#!/bin/sh
# Fuzzes the decoders of input from callers and peers, and the path of a request
# through each front end. Runs a fixed number of inputs, from the seed corpus
# and with a fixed seed.
# Usage: fuzz.sh BUILD_DIR [RUNS]
set -eu
build=$1
runs=${2:-100000}
cmake -S . -B "$build-fuzz" -DCMAKE_C_COMPILER=clang -DJT_FUZZ=ON \
    -DJT_SANITIZE=address,undefined >/dev/null
cmake --build "$build-fuzz" -j "$(nproc)" --target fuzz_messages fuzz_json fuzz_node fuzz_front fuzz_front_http >/dev/null
for name in messages json node front front_http; do
    mkdir -p "$build-fuzz/corpus-$name"
    "$build-fuzz/fuzz_$name" -seed=1 -runs="$runs" -max_len=4096 \
        -artifact_prefix="$build-fuzz/" "$build-fuzz/corpus-$name" \
        "tests/fuzz/corpus-$name" 2>"$build-fuzz/$name.log" || {
        tail -30 "$build-fuzz/$name.log"
        exit 1
    }
    grep -E '^Done' "$build-fuzz/$name.log" | sed "s/^/fuzz $name: /"
done
