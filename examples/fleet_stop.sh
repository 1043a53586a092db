#!/usr/bin/env bash
# Stops the processes of a fleet: fleet_stop.sh FOLDER
#
# Sends SIGTERM, and SIGKILL to those still running after PATIENCE_S seconds
# (10 by default).
set -euo pipefail
folder=$1
timeout_s=${PATIENCE_S:-10}

pids=()
for file in "$folder"/pids/*; do
    [ -e "$file" ] || continue
    pid=$(< "$file")
    rm "$file"
    if kill -TERM "$pid" 2> /dev/null; then
        pids+=("$pid")
    fi
done
for ((tenths = 0; tenths < timeout_s * 10; tenths++)); do
    running=()
    for pid in "${pids[@]}"; do
        if kill -0 "$pid" 2> /dev/null; then
            running+=("$pid")
        fi
    done
    [ ${#running[@]} -gt 0 ] || exit 0
    sleep 0.1
done
echo "${#running[@]} processes did not end in ${timeout_s} s; sending SIGKILL" >&2
kill -KILL "${running[@]}"
