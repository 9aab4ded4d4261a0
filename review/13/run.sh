#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" RECORD="$PWD/record.txt" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "../world3"); import world' || exit 2
exec python3 case.py
