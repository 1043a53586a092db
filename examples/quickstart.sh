#!/usr/bin/env bash
# Runs a small fleet, traffic, a failover and a drain, and prints the load report.
#
# The exit code is 0 if the load tool found no violation of a guarantee. PORT_OFFSET is
# added to the ports of examples/daura-lots.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD
export PYTHON=${PYTHON:-.venv/bin/python}
export PORT_OFFSET=${PORT_OFFSET:-0}
readonly deployment=daura-lots
readonly folder=run/quickstart
readonly load_s=40
readonly rate_per_s=120

build_addresses() {
    local number addresses=()
    for number in "$@"; do
        addresses+=("127.0.0.1:$((7100 + number + PORT_OFFSET))")
    done
    (IFS=,; echo "${addresses[*]}")
}

print_step() {
    printf '\n== %s\n' "$*"
}

run_cli() {
    echo "\$ sedgeswitch $*"
    "$PYTHON" -m sedgeswitch.cli "$@"
}

load_pid=
stop() {
    if [ -n "$load_pid" ]; then
        kill "$load_pid" 2> /dev/null || true
    fi
    examples/fleet_stop.sh "$folder"
}

wait_for_primaries() {
    local tries
    for ((tries = 0; tries < 100; tries++)); do
        if "$PYTHON" -m sedgeswitch.cli status groups --json 2> /dev/null \
            | grep -c '"phase": "serving"' | grep -qx 3; then
            return
        fi
        sleep 0.2
    done
    echo "expected 3 groups with a primary, not reached after 100 checks" >&2
    return 1
}

SEDGESWITCH_CONTROL=$(build_addresses 1 2 3)
export SEDGESWITCH_CONTROL
entry_hosts=$(build_addresses 1 2 3 4 5 6 7)
if [ -e "$folder" ]; then
    examples/fleet_stop.sh "$folder"
    rm -r "$folder"
fi
trap stop EXIT

print_step "Start 7 hosts (3 of them control hosts) and 9 stand-in instances"
examples/fleet.sh "$deployment" "$folder"

print_step "Apply the configuration and create keys"
for ((tries = 0; tries < 50; tries++)); do
    if "$PYTHON" -m sedgeswitch.cli in-force --wait 0 > /dev/null 2>&1; then
        break
    fi
    sleep 0.2
done
run_cli apply "$folder/configuration.json" > "$folder/apply.txt"
head -2 "$folder/apply.txt"
examples/fleet_keys.sh "$deployment" "$folder"
run_cli in-force --wait 10
wait_for_primaries
run_cli status groups

print_step "Send $rate_per_s statements per second for $load_s s"
"$PYTHON" -m standin.load --entry "$entry_hosts" \
    --organisations "$folder/keys/organisations.json" \
    --mix "examples/$deployment/mix.json" --prepare \
    --rate "$rate_per_s" --duration-s "$load_s" \
    < /dev/null > "$folder/load.txt" 2>&1 &
load_pid=$!
sleep 8

print_step "Kill draw-bagmati-a, the primary of its group"
kill -KILL "$(< "$folder/pids/draw-bagmati-a")"
sleep 7
run_cli status groups
print_step "Restart it; it returns as a replica"
examples/fleet_start.sh "$folder" draw-bagmati-a
sleep 3

print_step "Drain the instances labelled cleaning=tuesday and wait until they are idle"
run_cli drain cleaning=tuesday --watch --watch-seconds 20
run_cli status groups
sleep 3
run_cli undrain cleaning=tuesday

print_step "Report of the load tool"
exit_code=0
wait "$load_pid" || exit_code=$?
load_pid=
cat "$folder/load.txt"
exit "$exit_code"
