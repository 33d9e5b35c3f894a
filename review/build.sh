#!/bin/sh
# Builds the stand-ins of the scripts. They are Python (3.11 or later, as for soak/): only checked here.
set -e
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
    python3 -B -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
