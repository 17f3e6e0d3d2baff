#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. They use
# the standard library alone, and a script runs them inside its own process.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2
