#!/bin/sh
# Exits with 1 if the fault showed, 0 if it did not, 2 if the script could not run.
exec python3 "$(dirname "$0")/case.py"
