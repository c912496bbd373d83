#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later. The programs stand
# in build-review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for case in review/common-3/*.c; do
    name=$(basename "$case" .c)
    [ "$name" = rig ] && continue
    cc -std=gnu11 -O1 -g -Wall -Wextra -Werror -Wno-missing-field-initializers -Wno-format-truncation \
        -D_GNU_SOURCE -o "build-review-3/$name" "$case" review/common-3/rig.c \
        -pthread
done
