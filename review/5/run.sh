#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
PYTHONPATH="$here/.." exec python3 "$here/case.py"
