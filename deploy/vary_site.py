"""Write randomised copies of a site file, as deployments unknown to the developers.

Usage: ``python deploy/vary_site.py SITE.toml FOLDER --seeds 1-3``

Use a folder outside the repository. The test bench runs a copy like the original site.
Each seed selects regions, synchronous replicas, replication lags, promotion times,
connection limits, handshake times, slots, and the number of control hosts, which bounds
how many of them may be lost.
"""

import argparse
import pathlib
import random
import re
import shutil
import sys

WIRE_FILE = "wire.json"
CORE_CLASS = "core"


def _set_number(text: str, field: str, value: float) -> str:
    """Return the text with `value` in all assignments of a number to `field`."""
    return re.sub(rf"\b{field} = [0-9.]+", f"{field} = {value}", text)


def _vary_regions(text: str, rng: random.Random) -> str:
    if rng.random() < 0.5:
        return text
    return re.sub(r'region = "[^"]*"', 'region = "region-1"', text)


def _vary_replication(text: str, rng: random.Random) -> str:
    text = _set_number(text, "sync", rng.choice([0, 1]))
    text = _set_number(text, "promote_ms", rng.choice([100.0, 300.0, 1000.0, 2500.0]))
    mean_ms = rng.choice([8.0, 60.0, 250.0])
    pattern = r"lag_ms = \{ mean = [0-9.]+(.*?)max = [0-9.]+"
    varied = rf"lag_ms = {{ mean = {mean_ms}\g<1>max = {6 * mean_ms}"
    return re.sub(pattern, varied, text)


def _vary_connections(text: str, rng: random.Random) -> str:
    text = _set_number(text, "conn_cap", rng.choice([8, 14, 34, 120]))
    text = _set_number(text, "handshake_ms", rng.choice([4.0, 27.0, 60.0]))
    return _set_number(text, "slots", rng.choice([2, 3, 6]))


def _vary_control_hosts(text: str, rng: random.Random) -> str:
    """Set the number of control hosts of each zone to one, two or three."""
    lines = [
        _set_number(line, "count", rng.choice([1, 2, 3]))
        if f'class = "{CORE_CLASS}"' in line
        else line
        for line in text.splitlines()
    ]
    return "\n".join(lines) + "\n"


VARIATIONS = (_vary_regions, _vary_replication, _vary_connections, _vary_control_hosts)


def vary(text: str, seed: int) -> str:
    """Return a randomised copy of a site file's text; equal seeds give equal copies."""
    rng = random.Random(seed)
    for change in VARIATIONS:
        text = change(text, rng)
    return re.sub(
        r'^name = "([^"]*)"', rf'name = "\g<1>-{seed}"', text, count=1, flags=re.M
    )


def main() -> int:
    """Write the copies and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--seeds", default="1")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    arguments.folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(arguments.site.parent / WIRE_FILE, arguments.folder / WIRE_FILE)
    for seed in range(int(first), int(last or first) + 1):
        path = arguments.folder / f"{arguments.site.stem}-{seed}.toml"
        path.write_text(vary(arguments.site.read_text(), seed))
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
