#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption; then the case must pass.
# What was sent, answered and run is written to record.txt in this folder.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
record="$here/record.txt"
rm -f "$record"
timeout --kill-after=5 112 python3 "$here/case.py" "$record"
code=$?
[ -s "$record" ] || exit 2
case $code in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
