"""Regression runs on the users' bench: scores, failed days again, hunts.

python scripts/regression.py --bench FLEETBENCH --sites FOLDER [--quick]
    [--hunt-days N] [--jobs N] [SITE...]

FOLDER is the folder that has the users' site files; SITE narrows the run to
site files whose names begin so. Prints one line a run and a summary table,
and exits with 1 when a gate failed or a rule was broken. The bench leaves its
own entries in `journal/`.
"""

import argparse
from dataclasses import dataclass
from pathlib import Path
import re
import subprocess
import sys

# The oldest site files left these runs once their successors passed. Their
# days that failed before stay.
SITES = (
    "further/kapatiran-sched.toml",
    "grown/lampu-vaks-grown.toml",
    "grown/mwl-tbilisi-grown.toml",
    "further-grown/kapatiran-sched-grown.toml",
    "large/lampu-vaks-large.toml",
)
FAILED_DAYS = (
    ("sites/lampu-vaks.toml", "scale-1", 15163044740),
    ("sites/mwl-tbilisi.toml", "scale-1", 746786566754),
    ("sites/mwl-tbilisi.toml", "scale-1", 1089200282348),
)
SMALL_SITE_HUNT_DAYS = 40
LARGE_SITE_HUNT_DAYS = 8
LARGE_SITES = ("grown", "large")


@dataclass(frozen=True, slots=True)
class RunResult:
    """One run's site, what was run, its outcome and whether it passed."""

    site: str
    run: str
    outcome: str
    passed: bool


class BenchRunner:
    """Run the bench's commands in this repository."""

    def __init__(self, bench: Path, sites: Path, jobs: int) -> None:
        """Initialize; `jobs` is the number of days played at once."""
        self._bench = bench
        self._sites = sites
        self._jobs = jobs

    def score(self, site: str, quick: bool) -> RunResult:
        """Play the standard days of a site, or the light ones."""
        words = ["--quick"] if quick else []
        output = self._run("score", site, *words)
        found = re.search(r"^score on .*: ([\d.]+)$", output, re.MULTILINE)
        score = found[1] if found else "no score"
        return RunResult(site, "score", score, "GATE passed" in output)

    def hunt(self, site: str, days: int) -> RunResult:
        """Play days with other seeds."""
        output = self._run("hunt", site, "--days", str(days))
        found = re.search(r"(\d+) with a rule broken", output)
        broken = found[1] if found else "no"
        outcome = f"{broken} broken of {days}"
        return RunResult(site, "hunt", outcome, broken == "0")

    def replay(self, site: str, day: str, seed: int) -> RunResult:
        """Play a day that failed before."""
        output = self._run("run", site, day, "--seed", str(seed))
        broken = "BROKEN" in output or "score  worth" not in output
        outcome = "broken" if broken else "rules kept"
        return RunResult(site, f"{day} {seed}", outcome, not broken)

    def _run(self, verb: str, site: str, *words: str) -> str:
        """Run one command; return what it printed."""
        command = [
            str(self._bench),
            verb,
            str(self._sites / site),
            *words,
            "--jobs",
            str(self._jobs),
            "--why",
            "regression run",
        ]
        done = subprocess.run(
            command, capture_output=True, text=True, check=False
        )
        return done.stdout + done.stderr


def choose_hunt_days(site: str, hunt_days: int | None) -> int:
    """Return how many days to hunt; fewer on sites of 60 machines or more."""
    if hunt_days is not None:
        return hunt_days
    is_large = any(word in site.split("/")[0] for word in LARGE_SITES)
    return LARGE_SITE_HUNT_DAYS if is_large else SMALL_SITE_HUNT_DAYS


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--sites", type=Path, required=True)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--hunt-days", type=int)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("site", nargs="*")
    return parser.parse_args()


def main() -> int:
    """Run all; return the exit status."""
    arguments = parse_arguments()
    runner = BenchRunner(arguments.bench, arguments.sites, arguments.jobs)
    prefixes = tuple(arguments.site) or ("",)
    results: list[RunResult] = []

    def add(result: RunResult) -> None:
        print(f"{result.site}: {result.run}: {result.outcome}", flush=True)
        results.append(result)

    for site in SITES:
        if Path(site).name.startswith(prefixes):
            add(runner.score(site, arguments.quick))
            days = choose_hunt_days(site, arguments.hunt_days)
            add(runner.hunt(site, days))
    for site, day, seed in FAILED_DAYS:
        if Path(site).name.startswith(prefixes):
            add(runner.replay(site, day, seed))
    failed = [result for result in results if not result.passed]
    print(f"{len(results)} runs, {len(failed)} failed")
    for result in failed:
        print(f"FAILED {result.site} {result.run}: {result.outcome}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
