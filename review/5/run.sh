#!/bin/sh
# Runs the case and writes record.txt beside this file. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/ibisfield ] || [ ! -x target/review/case-5 ]; then
    echo "build the deploy file's target and run review/build.sh first" >&2
    exit 2
fi
exec target/review/case-5 review/5
