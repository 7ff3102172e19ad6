"""Write the example settings and bundles of both deployments.

The public keys are placeholders that belong to nobody: make your own with
`pistachioctl keys generate`.
"""

from base64 import b64encode
from pathlib import Path
import shutil

from deployment import count_ports
from deployment import PLANS
from deployment import write_deployment

FIRST_PORTS = {"lv-riga": 21000, "tbilisi": 22000}


def main() -> None:
    """Write the examples."""
    root = Path(__file__).parent.parent / "examples"
    for name, plan in PLANS.items():
        shutil.rmtree(root / name, ignore_errors=True)
        public_keys = {
            str(partner["name"]): b64encode(bytes([number]) * 32).decode()
            for number, partner in enumerate(plan.bundle["partners"], 1)
        }
        ports = count_ports(FIRST_PORTS[name])
        write_deployment(root / name, plan, ports, public_keys)


if __name__ == "__main__":
    main()
