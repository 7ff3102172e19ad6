"""Write the example settings and bundles of both deployments.

The public keys are placeholders without private keys: generate your own
with `pistachioctl keys generate`.
"""

from base64 import b64encode
from pathlib import Path
import shutil

from deployment import make_port_counter
from deployment import PLANS
from deployment import write_deployment

FIRST_PORTS = {"lv-riga": 21000, "tbilisi": 22000}


def main() -> None:
    """Replace the files in examples/."""
    examples_folder = Path(__file__).parent.parent / "examples"
    for name, plan in PLANS.items():
        shutil.rmtree(examples_folder / name, ignore_errors=True)
        public_keys = {
            str(partner["name"]): b64encode(bytes([number]) * 32).decode()
            for number, partner in enumerate(plan.bundle["partners"], 1)
        }
        next_port = make_port_counter(FIRST_PORTS[name])
        write_deployment(examples_folder / name, plan, next_port, public_keys)


if __name__ == "__main__":
    main()
