#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: those
# of the project and those in review/rig2. All of them are Python and need
# what the build line of deploy/system.toml has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q ebonypick standins review/rig2
PYTHONPATH=target/deps:. python3 -c 'import standins.store, review.rig2.world'
