#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 115 python3 case.py
