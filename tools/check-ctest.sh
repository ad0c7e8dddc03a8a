#!/bin/sh
# Reads the log of a ctest run. Failed tests that KNOWN-RED.txt lists are
# printed; with any other failure, or without a result, the exit status is 1.
# Usage: check-ctest.sh LOG
set -eu
log=$1
has_failed=0
grep -q 'tests passed' "$log" || {
    echo "no result in $log"
    exit 1
}
for name in $(sed -n 's/.*Test *#[0-9]*: \([^ ]*\) .*\(Failed\|Timeout\|Exception\|Not Run\).*/\1/p' "$log" | sort -u); do
    if [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
        echo "known red: $name"
        grep -A 4 "^test: $name\$" KNOWN-RED.txt
    else
        echo "FAILED: $name"
        has_failed=1
    fi
done
exit $has_failed
