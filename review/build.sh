#!/bin/sh
# Builds the stand-ins: compiles the modules, which need Python 3.11 alone.
cd "$(dirname "$0")" || exit 2
exec python3 -c 'import sys, compileall
assert sys.version_info >= (3, 11)
sys.exit(not compileall.compile_dir("standins", quiet=1))'
