#!/usr/bin/env bash
# Creates an API key for each organisation of a fleet: fleet_keys.sh DEPLOYMENT FOLDER
#
# Stores the keys under FOLDER/keys. Passes arguments after FOLDER to fleet_plan.py.
set -euo pipefail
deployment=$1
folder=$2
shift 2
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD
python=${PYTHON:-.venv/bin/python}

umask 077
mkdir -p "$folder/keys"
organisations=$($python -c "import json, sys; print(*json.load(sys.stdin)['organisations'])" \
    < "examples/$deployment/configuration.json")
for organisation in $organisations; do
    $python -m sedgeswitch.cli key give "$organisation" --json \
        > "$folder/keys/$organisation.json"
done
$python examples/fleet_plan.py organisations "$deployment" "$folder" "$@"
