#!/bin/sh
# Checks each model exhaustively, and that each of its mutants fails. Prints the
# number of states and the depth; exits 0 only if all results are as expected.
set -eu
cd "$(dirname "$0")"
out=out
rm -rf "$out"
mkdir -p "$out"
failures=0

# run NAME MODEL DEFINES: builds and runs a verifier; its output is in
# out/NAME/pan.log
run() {
    dir="$out/$1"
    mkdir -p "$dir"
    defines=$3
    # shellcheck disable=SC2086
    (cd "$dir" && spin -a $defines "../../$2" >spin.log 2>&1 &&
        gcc -O2 -w -DSAFETY -DNOFAIR -DVECTORSZ=4096 -DCOLLAPSE $defines \
            -I../../../src -o pan pan.c ../../../src/core/job.c >gcc.log 2>&1 &&
        ./pan -E -m2000000 -w26 >pan.log 2>&1) || true
    if [ ! -f "$dir/pan.log" ]; then
        echo "$1: did not build"
        cat "$dir"/*.log
        exit 1
    fi
}

# expect_valid NAME MODEL [DEFINES]: expects no error in a complete search
expect_valid() {
    run "$1" "$2" "${3:-}"
    log="$out/$1/pan.log"
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$log" | head -1)
    depth=$(sed -n 's/.*depth reached \([0-9]*\), errors.*/\1/p' "$log")
    if grep -q 'errors: 0' "$log" && ! grep -q 'max search depth too small' "$log"; then
        echo "$1: holds, $states states, depth $depth"
    else
        echo "$1: VIOLATED"
        grep -E 'assert|error' "$log" || true
        failures=$((failures + 1))
    fi
}

# expect_caught NAME MODEL MUTANT: expects that the checker finds an error
expect_caught() {
    run "$1-$3" "$2" "-D$3"
    if grep -q 'errors: 1' "$out/$1-$3/pan.log"; then
        echo "$1 $3: caught"
    else
        echo "$1 $3: NOT CAUGHT"
        failures=$((failures + 1))
    fi
}

# REQUESTS: requests of callers in one execution; JT_ASKS=4 takes minutes.
expect_valid job_id job_id.pml "-DREQUESTS=${JT_ASKS:-3}"
for mutant in M_INCARNATION M_EXPIRED M_REFUSAL M_RESEND M_CLEAR_SUBMITTED \
    M_EARLY_STOP M_GUESS_NOT_RUN M_PEER_STARTS; do
    expect_caught job_id job_id.pml $mutant
done
expect_valid config config.pml
for mutant in M_BASE M_GAP M_OLDER_PEER; do
    expect_caught config config.pml $mutant
done
expect_valid owner owner.pml
for mutant in M_NO_LEASE_WAIT M_EARLY_RESUBMIT M_NO_START_DEADLINE \
    M_NO_LINK_TIMEOUT M_NO_FREEZE_CHECK M_NEIGHBOUR_LEASE; do
    expect_caught owner owner.pml $mutant
done
expect_valid job job.pml
expect_caught job job.pml M_RETRY_UNKNOWN
[ "$failures" = 0 ] || exit 1
echo "models: all results as expected"
