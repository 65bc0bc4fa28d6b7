#!/bin/sh
# Builds the stand-ins that the scripts of review/7 to review/10 start. They
# are plain Python; this compiles them and checks that they can be imported
# with the packages that the build of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-2
export PYTHONPYCACHEPREFIX
python3 -m compileall -q src/basilpond src/basilpond_testkit/platform_stand_in.py \
    src/basilpond_testkit/log_contents.py review/rig-2 review/7 review/8 \
    review/9 review/10
PYTHONPATH=review/rig-2 python3 -c 'import rig'
