"""Compare policies on days of a pool: worth by pattern, in virtual time.

python -m bench.pool_table --policies ours "no moves" --patterns crash
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
import json
import sys

from .models import RESULTS
from .models import Table
from .pool_models import PoolDay
from .pool_policies import POLICIES
from .pools import PATTERNS
from .pools import play_day
from .pools import SITES

OURS = "ours"
SEEDS = (2, 3)
WORKERS = 4
# Two days of the same load differ by this much: trainers start at other
# times, lengths are drawn anew.
TOLERANCE = 0.02
DRAWN = ("heavy", "crash")
Row = tuple[str, str, str]


def play_all(
    sites: list[str],
    patterns: list[str],
    policies: list[str],
    seeds: tuple[int, ...],
) -> dict[Row, list[PoolDay]]:
    """Play each day of each row, on some cores."""
    rows = [
        (site, pattern, policy)
        for site in sites
        for pattern in patterns
        for policy in policies
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        started = {
            row: [
                pool.submit(play_day, SITES[row[0]], *row[1:], s)
                for s in seeds
            ]
            for row in rows
        }
        return {
            row: [day.result() for day in days]
            for row, days in started.items()
        }


def find_worth(days: list[PoolDay]) -> float:
    """Return the mean worth of days."""
    return sum(day.find_worth() for day in days) / len(days)


def rank(played: dict[Row, list[PoolDay]]) -> dict[str, float]:
    """Return the mean worth of each policy over all its rows."""
    worths: dict[str, list[float]] = {}
    for (_, _, policy), days in played.items():
        worths.setdefault(policy, []).append(find_worth(days))
    return {name: sum(row) / len(row) for name, row in worths.items()}


def measure(table: Table) -> None:
    """Add all rows; ours may not be behind any plain policy's mean."""
    played = play_all([*SITES], [*PATTERNS], [*POLICIES], SEEDS)
    for (site, pattern, policy), days in played.items():
        label = f"{site}, {pattern}: {policy}"
        table.add(label, find_worth(days), "worth")
    means = rank(played)
    best = max(worth for name, worth in means.items() if name != OURS)
    for name, worth in means.items():
        bound = best - TOLERANCE if name == OURS else None
        table.add(f"all patterns: {name}", worth, "worth", at_least=bound)
    save_moments(played)


def save_moments(played: dict[Row, list[PoolDay]]) -> None:
    """Write what groups did over a day, for the picture."""
    drawn = [
        {
            "name": f"{site}, {pattern}",
            "moments": [asdict(moment) for moment in days[0].moments],
        }
        for (site, pattern, policy), days in played.items()
        if policy == OURS and pattern in DRAWN
    ]
    path = RESULTS / "policy.moments.json"
    path.write_text(json.dumps(drawn) + "\n")


def main() -> int:
    """Print a table of some policies and patterns; return the status."""
    parser = argparse.ArgumentParser(prog="bench.pool_table")
    parser.add_argument("--sites", nargs="+", default=[*SITES], choices=SITES)
    parser.add_argument(
        "--patterns", nargs="+", default=[*PATTERNS], choices=PATTERNS
    )
    parser.add_argument(
        "--policies", nargs="+", default=[*POLICIES], choices=POLICIES
    )
    parser.add_argument("--seeds", nargs="+", type=int, default=SEEDS)
    options = parser.parse_args()
    played = play_all(
        options.sites,
        options.patterns,
        options.policies,
        tuple(options.seeds),
    )
    for (site, pattern, policy), days in played.items():
        runs = sum(day.runs for day in days)
        loads = sum(day.loads for day in days)
        print(
            f"{site:12} {pattern:9} {policy:26} {find_worth(days):6.3f} worth"
            f" {runs:6} runs {loads:4} loads"
        )
    for name, worth in rank(played).items():
        print(f"{'all':22} {name:26} {worth:6.3f} worth")
    return 0


if __name__ == "__main__":
    sys.exit(main())
