"""Run the benchmarks: `python -m bench [NAME ...]`.

Exits with 1 when a figure is out of bounds.
"""

import argparse
from collections.abc import Callable
import sys
import time

from . import capacity
from . import path
from . import policy
from . import pool_table
from . import service
from . import training
from .models import Table


def measure_policies(table: Table) -> None:
    """Measure the policies for requests and for pools of samplers."""
    policy.measure(table)
    pool_table.measure(table)


BENCHES: dict[str, Callable[[Table], None]] = {
    "capacity": capacity.measure,
    "path": path.measure,
    "policy": measure_policies,
    "service": service.measure,
    "training": training.measure,
}


def main() -> int:
    """Run the named benchmarks, or all; return 1 if any is out of bounds."""
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("names", nargs="*", choices=[[], *BENCHES])
    options = parser.parse_args()
    out_of_bounds = 0
    for name in options.names or BENCHES:
        started = time.monotonic()
        print(f"== {name}")
        table = Table(name)
        BENCHES[name](table)
        table.save()
        out_of_bounds += len(table.find_out_of_bounds())
        print(f"   took {time.monotonic() - started:.1f} s")
    print(f"{out_of_bounds} figures out of bounds")
    return 1 if out_of_bounds else 0


if __name__ == "__main__":
    sys.exit(main())
