"""Run the benchmarks: `python -m bench [NAME ...]`.

Exits with 1 when a bound is broken.
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
    """Measure the policies of both deployments of the product."""
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
    """Run the named benchmarks, or all; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("names", nargs="*", choices=[[], *BENCHES])
    options = parser.parse_args()
    broken = 0
    for name in options.names or BENCHES:
        started = time.monotonic()
        print(f"== {name}")
        table = Table(name)
        BENCHES[name](table)
        table.save()
        broken += len(table.find_broken())
        print(f"   took {time.monotonic() - started:.1f} s")
    print(f"{broken} bounds broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
