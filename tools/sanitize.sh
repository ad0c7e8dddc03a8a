#!/bin/sh
# Runs the tests with the address and undefined behaviour sanitizers, and those
# of the modules without RCU and its queues with the thread sanitizer.
# Usage: sanitize.sh BUILD_DIR
set -eu
build=$1
cmake -S . -B "$build-asan" -DJT_SANITIZE=address,undefined >/dev/null
cmake --build "$build-asan" -j "$(nproc)" >/dev/null
# The tests end processes by signals, so leaks at exit are not checked.
ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=halt_on_error=1 \
    ctest --test-dir "$build-asan" --output-on-failure \
    -E "functional/test_schedule|soak" >"$build-asan/ctest.log" 2>&1 || true
tools/check-ctest.sh "$build-asan/ctest.log" || {
    grep -vE '^ *$' "$build-asan/ctest.log" | tail -60
    exit 1
}
grep 'tests passed' "$build-asan/ctest.log" | sed 's/^/address, undefined: /'
cmake -S . -B "$build-tsan" -DJT_SANITIZE=thread >/dev/null
cmake --build "$build-tsan" -j "$(nproc)" --target test_threads >/dev/null
"$build-tsan/test_threads" >"$build-tsan/threads.log" 2>&1 || {
    tail -60 "$build-tsan/threads.log"
    exit 1
}
echo "thread: test_threads passed"
