#!/bin/sh
# Runs all test programs, then the fuzzers and the sanitizers. Failed tests that
# KNOWN-RED.txt lists are printed and ignored; any other failure ends the run
# with exit status 1.
# Usage: run-tests.sh BUILD_DIR
set -eu
build=$1
log=$build/ctest.log
ctest --test-dir "$build" --output-on-failure >"$log" 2>&1 || true
grep -E 'Passed|Failed|Timeout|tests passed|seed ' "$log"
tools/check-ctest.sh "$log" || {
    sed -n '/^ *[0-9]*\. /p;/\(cluster\|process\|fleet\):/p' "$log" | head -40
    exit 1
}
tools/fuzz.sh "$build"
tools/sanitize.sh "$build"
passed=$(grep -cE '^ *[0-9]+/[0-9]+ .* Passed ' "$log")
failed=$(grep -cE '^ *[0-9]+/[0-9]+ .*(Failed|Timeout|Exception|Not Run)' "$log" || true)
echo "$passed passed, $failed failed"
