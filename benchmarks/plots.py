"""Draw the saved results of ``benchmarks.deployments`` as bar charts in one SVG file.

Usage: ``.venv/bin/python -m benchmarks.plots``
"""

import json
import typing

from benchmarks import deployments

FILE_NAME = "deployments.svg"
PANEL_WIDTH = 270
BAR_HEIGHT = 14
LABEL_WIDTH = 210
TITLE_HEIGHT = 34
BAR_WIDTH = PANEL_WIDTH - 60


class Panel(typing.NamedTuple):
    """One bar chart: a field of the results, and its title."""

    measure: str
    title: str


PANELS = (
    Panel("replica_read_share", "reads served by replicas (share)"),
    Panel("failover_write_gap_s", "write gap of the failover (s)"),
    Panel("worst_p99_ms", "p99 of the worst-served organisation (ms)"),
    Panel("wrongful_refusal_share", "refused within the rate (share)"),
)


def load_results() -> list[dict[str, typing.Any]]:
    """Return the saved results, sorted by file name."""
    paths = [
        path
        for name in deployments.DEPLOYMENTS
        for path in deployments.RESULTS.glob(f"{name}-*.json")
    ]
    return [json.loads(path.read_text()) for path in sorted(paths)]


def build_svg(results: list[dict[str, typing.Any]]) -> str:
    """Return an SVG document with a row for each result and a column per panel."""
    height = TITLE_HEIGHT + (BAR_HEIGHT + 6) * len(results) + 10
    width = LABEL_WIDTH + PANEL_WIDTH * len(PANELS)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    for row, result in enumerate(results):
        label = f"{result['deployment']} {result['policy']}"
        parts.append(f'<text x="4" y="{_get_y(row) + 11}">{label[:28]}</text>')
    for column, panel in enumerate(PANELS):
        parts += _build_panel(panel, LABEL_WIDTH + column * PANEL_WIDTH, results)
    return "\n".join([*parts, "</svg>", ""])


def _get_y(row: int) -> int:
    return TITLE_HEIGHT + row * (BAR_HEIGHT + 6)


def _build_panel(
    panel: Panel, left: int, results: list[dict[str, typing.Any]]
) -> list[str]:
    parts = [f'<text x="{left}" y="18" font-weight="bold">{panel.title}</text>']
    maximum = max(result[panel.measure] for result in results) or 1
    for row, result in enumerate(results):
        value = result[panel.measure]
        width = BAR_WIDTH * value / maximum
        y = _get_y(row)
        parts.append(
            f'<rect x="{left}" y="{y}" width="{width:.1f}" height="{BAR_HEIGHT}" '
            'fill="#4477aa"/>'
        )
        parts.append(f'<text x="{left + width + 4:.1f}" y="{y + 11}">{value}</text>')
    return parts


def main() -> None:
    """Write the SVG file and print its path."""
    path = deployments.RESULTS / FILE_NAME
    path.write_text(build_svg(load_results()))
    print(path)


if __name__ == "__main__":
    main()
