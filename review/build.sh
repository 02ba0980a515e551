#!/bin/sh
# The stand-ins of the scripts are Python modules beside them: checks that they
# compile and that the build of the deploy file has brought what they import.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/2 || exit 1
test -d target/deps
