#!/usr/bin/env bash
# Starts the processes of an example fleet: fleet.sh DEPLOYMENT FOLDER
#
# Writes a pid file and a log for each process under FOLDER. Environment variables:
#   PORT_OFFSET             added to each port of the example
#   FLEET_SETTINGS          JSON object of settings that replace those of the example
#   FLEET_INSTANCE_OPTIONS  further options of each stand-in instance
#   PYTHON                  interpreter; .venv/bin/python by default
set -euo pipefail
deployment=$1
folder=$2
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD
python=${PYTHON:-.venv/bin/python}

mkdir -p "$folder/pids" "$folder/logs"
$python examples/fleet_plan.py processes "$deployment" "$folder" \
    --port-offset "${PORT_OFFSET:-0}" --settings "${FLEET_SETTINGS:-"{}"}" \
    --instance-options="${FLEET_INSTANCE_OPTIONS:-}" > "$folder/processes"
while read -r name _; do
    examples/fleet_start.sh "$folder" "$name"
done < "$folder/processes"
echo "$(wc -l < "$folder/processes") processes of $deployment started; files are in $folder"
