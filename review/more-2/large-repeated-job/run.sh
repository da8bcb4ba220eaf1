#!/bin/sh
# Shows a repeated job of many tasks stopping the records of all jobs. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/release/jasminebend ] || { echo "build target/release/jasminebend first"; exit 2; }
timeout -s TERM 118 python3 review/more-2/large-repeated-job/case.py
code=$?
[ $code -le 1 ] && exit $code
exit 2
