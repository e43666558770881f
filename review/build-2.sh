#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python: their modules are compiled,
# and those of the project that they use must load with the libraries of the build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q review/site2.py review/limits2.py review/6 review/7 review/8 review/10 firworks/standins
python3 -c "import firworks.standins.platform_store, firworks.standins.platform_targets"
