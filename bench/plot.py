"""Plots of the measured points, fitted lines and group counts, as SVG.

    pip install --constraint constraints.txt matplotlib
    python -m bench.plot

matplotlib is an optional extra: nothing else needs it.
"""

import json
import sys
from typing import Any

from .models import RESULTS_FOLDER

COLUMNS = 2
WIDTH_IN = 9.0
ROW_HEIGHT_IN = 2.8
GROUP_STATES = ("running", "waiting", "finished")


def draw_series(series: list[dict[str, Any]], file: str) -> None:
    """Draw one panel for each series; raises ImportError."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "pistachiospar"
    from matplotlib import pyplot

    rows = -(-len(series) // COLUMNS)
    figure, axes = pyplot.subplots(
        rows, COLUMNS, figsize=(WIDTH_IN, ROW_HEIGHT_IN * rows), squeeze=False
    )
    for panel, item in zip(axes.flat, series, strict=False):
        sizes, values = item["sizes"], item["values"]
        panel.plot(sizes, values, "o")
        end_sizes = [min(sizes), max(sizes)]
        line = [item["base"] + item["slope"] * size for size in end_sizes]
        panel.plot(end_sizes, line, "-")
        panel.set_title(item["name"], fontsize=9)
        panel.set_xlabel(item["size_name"], fontsize=8)
        panel.set_ylabel(item["unit"], fontsize=8)
        panel.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(file, metadata={"Date": None})


def draw_groups(group_days: list[dict[str, Any]], file: str) -> None:
    """Draw the group counts over each day; raises ImportError."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "pistachiospar"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(group_days),
        1,
        figsize=(WIDTH_IN, ROW_HEIGHT_IN * len(group_days)),
        squeeze=False,
    )
    for panel, day in zip(axes.flat, group_days, strict=True):
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
    """Draw all saved results; return 1 without results or matplotlib."""
    series: list[dict[str, Any]] = []
    for path in sorted(RESULTS_FOLDER.glob("*.points.json")):
        series.extend(json.loads(path.read_text()))
    if not series:
        print("no results to plot: run make bench first", file=sys.stderr)
        return 1
    counts_file = RESULTS_FOLDER / "policy.moments.json"
    try:
        draw_series(series, str(RESULTS_FOLDER / "slopes.svg"))
        if counts_file.exists():
            group_days = json.loads(counts_file.read_text())
            draw_groups(group_days, str(RESULTS_FOLDER / "groups.svg"))
    except ImportError:
        print("matplotlib is not installed", file=sys.stderr)
        return 1
    print(RESULTS_FOLDER.name + "/slopes.svg")
    return 0


if __name__ == "__main__":
    sys.exit(main())
