#!/usr/bin/env bash
# Starts or restarts one process of a fleet: fleet_start.sh FOLDER NAME
set -euo pipefail
folder=$1
name=$2
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD
python=${PYTHON:-.venv/bin/python}

read -r -a words <<< "$(grep "^$name " "$folder/processes")"
nohup "$python" -m "${words[@]:1}" \
    < /dev/null >> "$folder/logs/$name.log" 2>&1 &
echo $! > "$folder/pids/$name"
