# Shared by the scripts of cases 11 to 15: a small deployment on loopback
# addresses with the stand-ins of this folder. Sourced by bash.
#
# One data centre with the limits and bounds of the small deployment
# hivecraft-yards (260 MB a machine, hold_max_ms 1,000, stop_grace_ms 50,
# retransmit_ms 1,300, grace_s 6, ttl_min_ms 1,000). The nodes are started with
# the command of deploy/system.toml, with what deploy/node.json makes of them.

root=$(cd "$here/../.." && pwd)
kit=$root/build-review-3
record=$here/record.txt
memory_mb=260
pids=()
node_pids=()
runner_pids=()

[ -x "$root/target/jt-node" ] && [ -x "$kit/review-runner" ] &&
    [ -x "$kit/review-store" ] || {
    echo "not built: run the build of deploy/system.toml and review/build-3.sh"
    exit 2
}
folder=$(mktemp -d)
: >"$record"

stop_all() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
    rm -rf "$folder" # ends the loops of clients, too
    # A script that follows at once needs the addresses.
    for _ in $(seq 60); do
        kill -0 "${pids[@]}" 2>/dev/null || break
        sleep 0.05
    done
    wait 2>/dev/null
}
trap stop_all EXIT

now_ms() {
    local up
    read -r up _ </proc/uptime
    echo $((10#${up/./} * 10))
}

note() {
    echo "$(now_ms) $*" >>"$record"
}

# Ends the script with a result: 0 held, 1 broken, 2 could not run.
finish() {
    note "result $1: $2"
    echo "result $1: $2"
    exit "$1"
}

is_open() { # IP PORT
    (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null
}

# Takes a second octet that no other process uses; those from 220 on belong to
# the tests of the project.
network=0
for candidate in $(seq 210 219); do
    if ! is_open "127.$candidate.0.1" 7301; then
        network=$candidate
        break
    fi
done
[ "$network" != 0 ] || {
    echo "no free network"
    exit 2
}
store=127.$network.0.1

# Sends a request over a connection of its own.
# http METHOD IP PORT PATH BODY DEADLINE_MS TIMEOUT_S -> "STATUS BODY"; 0: none
http() {
    (
        exec 3<>"/dev/tcp/$2/$3" || exit 1
        printf '%s %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nRequest-Deadline: %s\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
            "$1" "$4" "$6" "${#5}" "$5" >&3
        IFS=' ' read -r -t "$7" -u 3 _ status _ || exit 1
        body=
        while IFS= read -r -t 1 -u 3 line; do
            body=$line
        done
        echo "$status ${line:-$body}"
    ) 2>/dev/null || echo 0
}

node_ip() {
    echo "127.$network.1.$(($1 + 1))"
}

start_store() {
    "$kit/review-store" --address "$store" >"$folder/store.log" 2>&1 &
    pids+=($!)
    disown
    for _ in $(seq 100); do
        is_open "$store" 7301 && return
        sleep 0.05
    done
    finish 2 "the store did not start"
}

start_runner() { # NUMBER KIND
    "$kit/review-runner" --id "r$1" --address "127.$network.50.$(($1 + 1))" \
        --port 20000 --kind "$2" --store "$store:7301" --out "$record" \
        >>"$folder/runner$1.log" 2>&1 &
    runner_pids[$1]=$!
    disown
    pids+=($!)
}

start_node() { # NUMBER
    local ip
    ip=$(node_ip "$1")
    cat >"$folder/node$1.json" <<END
{"name": "edge-$1", "dc": "dc1", "dcs": ["dc1"], "address": "$ip",
 "callers": "$ip:8161", "ready": "$ip:8167", "peer_port": 7720,
 "metrics_port": 9464, "store": "$store:7301", "core_share": 0.25,
 "memory_mb": $memory_mb, "hold_limit_ms": 1000, "stop_grace_ms": 50,
 "resubmit_ms": 1300, "stop_limit_s": 6, "member_ttl_ms": 1000,
 "remote_factor": 1.5, "wait_order": "value", "cell_count": 32}
END
    (cd "$root" && JAYTRESTLE_SETTINGS=$folder/node$1.json \
        exec target/jt-node >>"$folder/node$1.log" 2>&1) &
    node_pids[$1]=$!
    disown
    pids+=($!)
}

is_ready() { # NUMBER
    [[ $(http GET "$(node_ip "$1")" 8167 /ready "" 1000 1) == 200* ]]
}

read_metric() { # NUMBER NAME
    (
        exec 3<>"/dev/tcp/$(node_ip "$1")/9464" || exit 1
        printf 'GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' >&3
        while IFS=' ' read -r -t 1 -u 3 name value; do
            [ "$name" = "$2" ] && echo "${value%%[!0-9]*}" && exit 0
        done
    ) 2>/dev/null || true
}

# Waits until the nodes are ready and own all runners.
wait_ready() { # NODES RUNNERS
    local owned count
    for _ in $(seq 200); do
        owned=0
        for ((n = 0; n < $1; n++)); do
            is_ready "$n" || {
                owned=-1
                break
            }
            count=$(read_metric "$n" jaytrestle_targets_open)
            owned=$((owned + ${count:-0}))
        done
        [ "$owned" = "$2" ] && return
        sleep 0.1
    done
    finish 2 "the deployment is not ready"
}

hex_id() { # NUMBER -> 16 hexadecimal digits
    printf '%08x%08x' "$$" "$1"
}
