#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs; this checks that they compile.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
