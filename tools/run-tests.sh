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
failed=$(sed -n 's/.*Test *#[0-9]*: \([^ ]*\) .*\(Failed\|Timeout\|Exception\).*/\1/p' "$log" | sort -u)
has_failed=0
for name in $failed; do
    if [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
        echo "known red: $name"
        grep -A 4 "^test: $name\$" KNOWN-RED.txt
    else
        echo "FAILED: $name"
        has_failed=1
    fi
done
if [ "$has_failed" = 1 ]; then
    sed -n '/^ *[0-9]*\. /p;/\(cluster\|process\|fleet\):/p' "$log" | head -40
    exit 1
fi
tools/fuzz.sh "$build"
tools/sanitize.sh "$build"
passed=$(grep -cE ' Passed ' "$log")
echo "$passed passed, $(printf '%s' "$failed" | grep -c . || true) failed"
