#!/bin/sh
# Runs all processes on loopback addresses: a stand-in for the platform and 2
# data centres with 2 entry VMs and 5 targets each. Submits a job of 20 tasks,
# prints its answer and the counters, and stops everything gracefully.
# Usage: demo.sh BUILD_DIR
set -eu
build=$1
run=$(mktemp -d)
net=127.91
pids=""

cleanup() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$run"
}
trap cleanup EXIT

start() {
    name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids="$pids $!"
}

# write_settings FILE-PREFIX DC VM ADDRESS PEER-ADDRESS
write_settings() {
    here="\"here\": {\"dc\": $2, \"vm\": $3, \"address\": \"$4\"}"
    printf '{%s, "quiet_ms": 200}\n' "$here" >"$1-front.json"
    printf '{%s, "start_by_ms": 1000}\n' "$here" >"$1-dispatch.json"
    printf '{%s, "platform_url": "http://%s.0.1:7300", "poll_ms": 200,\n "peers": [{"address": "%s"}]}\n' \
        "$here" "$net" "$5" >"$1-agent.json"
}

vms=""
for dc in 1 2; do
    for n in 1 2; do
        vms="$vms{\"vm\":$((dc * 10 + n)),\"dc\":$dc,\"role\":\"entry\",\"address\":\"$net.$dc.$n\"},"
    done
    for n in 1 2 3 4 5; do
        vms="$vms{\"vm\":$((dc * 100 + n)),\"dc\":$dc,\"role\":\"target\",\"address\":\"$net.10$dc.$n\",\"port\":9000,\"slots\":8},"
    done
done

start platform "$build/standin-platform" --address $net.0.1 --port 7300
for dc in 1 2; do
    start targets$dc "$build/standin-targets" --address $net.10$dc.1 --count 5
done
until curl -s "http://$net.0.1:7300/standin/log" >/dev/null; do sleep 0.05; done
curl -s -X PUT -d "{\"vms\":[${vms%,}]}" "http://$net.0.1:7300/standin/vms" >/dev/null

for dc in 1 2; do
    for n in 1 2; do
        write_settings "$run/vm$dc$n" $dc $((dc * 10 + n)) $net.$dc.$n $net.$((3 - dc)).1
        for name in agent dispatch front; do
            start "vm$dc$n-$name" "$build/jt-$name" --settings "$run/vm$dc$n-$name.json"
        done
    done
done
until curl -sf -X POST "http://$net.1.1:8080/v1/job-ids" >/dev/null; do sleep 0.05; done

echo "== publish the section of the counter team"
printf '{\n  // The counter team: quotes and slot bookings.\n  "quota": {"tasks_per_s": 1000}\n}\n' >"$run/counter.json"
until "$build/jtctl" --address $net.1.1 config put counter "$run/counter.json"; do sleep 0.2; done
until "$build/jtctl" --address $net.1.1 config status | grep -q 'vm 22 dispatch 1'; do sleep 0.1; done
"$build/jtctl" --address $net.1.1 config status

echo "== submit a job of 20 tasks"
tasks=""
for i in $(seq 1 20); do
    kind=quote
    [ $((i % 3)) = 0 ] && kind=stock_check
    [ $((i % 5)) = 0 ] && kind=slot_booking
    tasks="$tasks{\"kind\":\"$kind\",\"payload\":\"ms=$((40 + i * 10))\"},"
done
curl -s -L -X POST -d "{\"team\":\"counter\",\"deadline_ms\":10000,\"tasks\":[${tasks%,}]}" \
    "http://$net.1.1:8080/v1/jobs" >"$run/answer.json"
cat "$run/answer.json"
echo
grep -q '"state":"complete"' "$run/answer.json"

echo "== counters of the dispatcher that ran it"
"$build/jtctl" --address $net.1.1 --port 7401 counters | grep -v ' 0$'
echo "== starts counted by the targets"
curl -s "http://$net.101.1:9001/standin/ledger"
echo

echo "== graceful stop"
for pid in $pids; do kill "$pid"; done
wait
grep -h 'event=stopped' "$run"/*.log | wc -l
echo "demo: done"
