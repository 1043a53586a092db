#!/usr/bin/env bash
# Ends the processes of a fleet gracefully: fleet_stop.sh FOLDER
set -euo pipefail
folder=$1
patience_s=${PATIENCE_S:-10}

pids=()
for file in "$folder"/pids/*; do
    [ -e "$file" ] || continue
    pid=$(< "$file")
    rm "$file"
    if kill -TERM "$pid" 2> /dev/null; then
        pids+=("$pid")
    fi
done
for ((tenths = 0; tenths < patience_s * 10; tenths++)); do
    running=()
    for pid in "${pids[@]}"; do
        if kill -0 "$pid" 2> /dev/null; then
            running+=("$pid")
        fi
    done
    [ ${#running[@]} -gt 0 ] || exit 0
    sleep 0.1
done
echo "${#running[@]} processes did not end in ${patience_s} s; killing them" >&2
kill -KILL "${running[@]}"
