#!/bin/sh
# Checks the stand-ins of the second review; they need the standard library.
cd "$(dirname "$0")" || exit 1
for file in standins_2.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$file" || exit 1
done
python3 -c 'import standins_2'
