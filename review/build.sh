#!/usr/bin/env bash
# Builds the stand-ins: they are Python, so this only checks that they load.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
python3 -c "import lab"
python3 -m compileall -q review firworks/standins
