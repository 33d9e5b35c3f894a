#!/bin/sh
# Exit status: 1 rule FLOW was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
exec python3 -B "$(dirname "$0")/case.py"
