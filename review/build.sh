#!/bin/sh
# Builds the stand-ins that the scripts start: compiles them to byte code.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 -m compileall -q "$here"
