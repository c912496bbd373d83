#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review-3/drill_config ] || exit 2
timeout -k 2 110 build-review-3/drill_config review/12
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
