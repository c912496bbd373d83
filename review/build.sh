#!/bin/sh
# Builds the programs that the scripts under review/ start: one for each case,
# with its stand-ins. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.c; do
    number=$(basename "$(dirname "$case")")
    gcc -std=gnu11 -O2 -D_GNU_SOURCE -Wall -Wextra \
        -o "target/review/case-$number" "$case" review/common/fleet.c -lpthread
done
