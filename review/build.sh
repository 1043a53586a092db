#!/usr/bin/env bash
# Compiles the stand-ins and the scenarios, which need Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
