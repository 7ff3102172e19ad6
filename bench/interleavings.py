"""Run many seeded interleavings in parallel, as the acceptance run does.

python -m bench.interleavings --seeds 10000
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.interleavings import run_interleaving  # noqa: E402

WORKER_COUNT = 8
SEEDS_PER_CHUNK = 16


def check_seed(seed: int) -> list[str]:
    """Return the guarantees that a seed violated."""
    return run_interleaving(seed).find_violations()


def main() -> int:
    """Run the seeds; return 1 if any violated a guarantee."""
    parser = argparse.ArgumentParser(prog="bench.interleavings")
    parser.add_argument("--seeds", type=int, default=10_000)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    started = time.monotonic()
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        results = pool.map(check_seed, seeds, chunksize=SEEDS_PER_CHUNK)
        violations = [line for result in results for line in result]
    for line in violations:
        print(line)
    seconds = time.monotonic() - started
    print(f"{len(seeds)} seeds, {len(violations)} violations, {seconds:.1f} s")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
