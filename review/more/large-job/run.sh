#!/bin/sh
# Exits with 1 if the fault showed, 0 if it did not, 2 if the script could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
