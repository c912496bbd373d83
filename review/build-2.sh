#!/bin/sh
# Builds the programs of the cases 6 to 10 in target/review-2. Uses the C
# compiler and the C library only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.c" ]; then
        "${CC:-cc}" -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread \
            -Ireview/common-2 "$case/case.c" review/common-2/site.c \
            -o "$out/case-${case#review/}"
    fi
done
