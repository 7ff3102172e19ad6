"""Draw the measured points and their fitted lines as SVG.

    pip install --constraint constraints.txt matplotlib
    python -m bench.plot

matplotlib is an optional extra: nothing else needs it.
"""

import json
import sys
from typing import Any

from .models import RESULTS

COLUMNS = 2
WIDTH_IN = 9.0
ROW_IN = 2.8
GROUP_STATES = ("running", "waiting", "finished")


def draw(series: list[dict[str, Any]], file: str) -> None:
    """Draw one panel for each series; raises ImportError."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "pistachiospar"
    from matplotlib import pyplot

    rows = -(-len(series) // COLUMNS)
    figure, axes = pyplot.subplots(
        rows, COLUMNS, figsize=(WIDTH_IN, ROW_IN * rows), squeeze=False
    )
    for panel, item in zip(axes.flat, series, strict=False):
        sizes, values = item["sizes"], item["values"]
        panel.plot(sizes, values, "o")
        ends = [min(sizes), max(sizes)]
        line = [item["base"] + item["slope"] * size for size in ends]
        panel.plot(ends, line, "-")
        panel.set_title(item["name"], fontsize=9)
        panel.set_xlabel(item["size_name"], fontsize=8)
        panel.set_ylabel(item["unit"], fontsize=8)
        panel.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(file, metadata={"Date": None})


def draw_groups(days: list[dict[str, Any]], file: str) -> None:
    """Draw what groups did over each day; raises ImportError."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "pistachiospar"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(days), 1, figsize=(WIDTH_IN, ROW_IN * len(days)), squeeze=False
    )
    for panel, day in zip(axes.flat, days, strict=True):
        times = [moment["at"] for moment in day["moments"]]
        rows = [
            [moment[name] for moment in day["moments"]]
            for name in GROUP_STATES
        ]
        panel.stackplot(times, rows, labels=GROUP_STATES)
        panel.set_title(day["name"], fontsize=9)
        panel.set_xlabel("virtual seconds", fontsize=8)
        panel.set_ylabel("groups of open steps", fontsize=8)
        panel.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file, metadata={"Date": None})


def main() -> int:
    """Draw all series that were measured; return the exit status."""
    series: list[dict[str, Any]] = []
    for path in sorted(RESULTS.glob("*.points.json")):
        series.extend(json.loads(path.read_text()))
    if not series:
        print("nothing measured yet: run make bench", file=sys.stderr)
        return 1
    days = RESULTS / "policy.moments.json"
    try:
        draw(series, str(RESULTS / "slopes.svg"))
        if days.exists():
            drawn = json.loads(days.read_text())
            draw_groups(drawn, str(RESULTS / "groups.svg"))
    except ImportError:
        print("matplotlib is not installed", file=sys.stderr)
        return 1
    print(RESULTS.name + "/slopes.svg")
    return 0


if __name__ == "__main__":
    sys.exit(main())
