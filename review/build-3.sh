#!/usr/bin/env bash
# Prepares what the scripts of this review start, after the build of the deploy file. Their stand-ins
# are Python modules (review/standins-3) and need no compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 -B -c 'import ast, sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as stream:
        ast.parse(stream.read(), path)' review/standins-3/*.py review/1[1-5]/*.py
