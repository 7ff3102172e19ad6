#!/bin/sh
# Builds the stand-ins that the scripts start: Python without dependencies.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins.py [1-5]
