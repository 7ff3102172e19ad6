"""Run `pistachiospard` from the source tree, without installing it."""

from pathlib import Path
import sys

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "packages" / "pistachiospar" / "src"))

from pistachiospar.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
