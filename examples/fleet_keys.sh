#!/usr/bin/env bash
# Gives each organisation of a fleet a key: fleet_keys.sh DEPLOYMENT FOLDER
#
# The keys stay under FOLDER/keys.  Arguments after FOLDER go to fleet_plan.py.
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
