#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the programs of the deploy
# file. Their stand-ins are Python files that need no packages, so that they are only
# compiled here, to show that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in [0-9]*/case.py; do
    case "$file" in
        1[1-5]/*) python3 - "$file" <<'PYTHON'
import pathlib
import sys

path = pathlib.Path(sys.argv[1])
compile(path.read_text(), str(path), "exec")
PYTHON
            ;;
    esac
done
