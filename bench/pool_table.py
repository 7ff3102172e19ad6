"""Compare policies of a pool by their worth, per site and load pattern.

The days are simulated in virtual time, in several processes.

python -m bench.pool_table --policies ours "no moves" --patterns crash
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
import json
import sys

from .models import RESULTS_FOLDER
from .models import Table
from .pool_models import PoolDay
from .pool_policies import POLICIES
from .pools import PATTERNS
from .pools import run_day
from .pools import SITES

OWN_POLICY = "ours"
SEEDS = (2, 3)
WORKER_COUNT = 4
# Days of the same load differ by this much, as trainers start at other times
# and lengths are drawn anew.
WORTH_TOLERANCE = 0.02
PLOTTED_PATTERNS = ("heavy", "crash")
DayKey = tuple[str, str, str]


def run_days(
    sites: list[str],
    patterns: list[str],
    policies: list[str],
    seeds: tuple[int, ...],
) -> dict[DayKey, list[PoolDay]]:
    """Run all days, by site, pattern and policy, one for each seed."""
    rows = [
        (site, pattern, policy)
        for site in sites
        for pattern in patterns
        for policy in policies
    ]
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        futures = {
            row: [
                pool.submit(run_day, SITES[row[0]], *row[1:], s) for s in seeds
            ]
            for row in rows
        }
        return {
            row: [day.result() for day in days]
            for row, days in futures.items()
        }


def compute_worth(days: list[PoolDay]) -> float:
    """Return the mean worth of some days."""
    return sum(day.compute_worth() for day in days) / len(days)


def average_by_policy(
    days_by_key: dict[DayKey, list[PoolDay]],
) -> dict[str, float]:
    """Return each policy's mean worth over all sites and patterns."""
    worths: dict[str, list[float]] = {}
    for (_, _, policy), days in days_by_key.items():
        worths.setdefault(policy, []).append(compute_worth(days))
    return {name: sum(row) / len(row) for name, row in worths.items()}


def measure(table: Table) -> None:
    """Measure all days; the own policy may not fall behind a baseline.

    Its mean over all patterns is compared, with a tolerance.
    """
    days_by_key = run_days([*SITES], [*PATTERNS], [*POLICIES], SEEDS)
    for (site, pattern, policy), days in days_by_key.items():
        label = f"{site}, {pattern}: {policy}"
        table.add(label, compute_worth(days), "worth")
    means = average_by_policy(days_by_key)
    best = max(worth for name, worth in means.items() if name != OWN_POLICY)
    for name, worth in means.items():
        bound = best - WORTH_TOLERANCE if name == OWN_POLICY else None
        table.add(f"all patterns: {name}", worth, "worth", at_least=bound)
    save_group_counts(days_by_key)


def save_group_counts(days_by_key: dict[DayKey, list[PoolDay]]) -> None:
    """Write the group counts of the plotted patterns, for bench.plot."""
    plots = [
        {
            "name": f"{site}, {pattern}",
            "moments": [asdict(counts) for counts in days[0].group_counts],
        }
        for (site, pattern, policy), days in days_by_key.items()
        if policy == OWN_POLICY and pattern in PLOTTED_PATTERNS
    ]
    path = RESULTS_FOLDER / "policy.moments.json"
    path.write_text(json.dumps(plots) + "\n")


def main() -> int:
    """Print the worth of the chosen policies and patterns; return 0."""
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
    days_by_key = run_days(
        options.sites,
        options.patterns,
        options.policies,
        tuple(options.seeds),
    )
    for (site, pattern, policy), days in days_by_key.items():
        runs = sum(day.runs for day in days)
        loads = sum(day.loads for day in days)
        print(
            f"{site:12} {pattern:9} {policy:26}"
            f" {compute_worth(days):6.3f} worth"
            f" {runs:6} runs {loads:4} loads"
        )
    for name, worth in average_by_policy(days_by_key).items():
        print(f"{'all':22} {name:26} {worth:6.3f} worth")
    return 0


if __name__ == "__main__":
    sys.exit(main())
