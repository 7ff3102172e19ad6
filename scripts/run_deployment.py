"""Run an example deployment on loopback until interrupted.

python scripts/run_deployment.py --plan lv-riga --folder run
"""

import argparse
from pathlib import Path
import signal
import sys

from deployment import make_port_counter
from deployment import PLANS
from deployment import write_deployment
from fleet import run_fleet
from operators import generate_keys
from operators import roll_bundle

FIRST_PORT = 21000


def main() -> int:
    """Run the deployment; return 1 if a process ends with an error."""
    parser = argparse.ArgumentParser(prog="run_deployment")
    parser.add_argument("--plan", choices=sorted(PLANS), default="lv-riga")
    parser.add_argument("--folder", type=Path, default=Path("run"))
    parser.add_argument("--first-port", type=int, default=FIRST_PORT)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    plan = PLANS[options.plan]
    keys = options.folder / "keys"
    partners = [str(p["name"]) for p in plan.bundle["partners"]]
    public_keys = generate_keys(keys, partners)
    next_port = make_port_counter(options.first_port)
    deployment = write_deployment(options.folder, plan, next_port, public_keys)
    with run_fleet(deployment) as fleet:
        fleet.wait_ready("sidecar")
        bundle = options.folder / "bundle.json5"
        print("rolled", roll_bundle(deployment, keys, bundle))
        fleet.wait_ready("entry")
        for process in deployment.processes:
            address = process.listen or process.admin
            print(f"{process.name:24} {process.kind:10} {address}")
        print("entries:", *deployment.entries, flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass
        statuses = fleet.stop_all()
    return 1 if any(statuses.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
