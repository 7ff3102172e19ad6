#!/bin/bash
# Builds the stand-ins of the cases 11 to 15: plain Python, standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
from pathlib import Path
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for file in [Path("review/standins_3.py"), *Path("review").glob("1[1-5]/*.py")]:
    compile(file.read_text(), str(file), "exec")
if not Path("target/deps").is_dir():
    sys.exit("run the build of deploy/system.toml first")
CHECK
