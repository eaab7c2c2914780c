#!/bin/sh
# Runs case 3 after the build of the deploy file and review/build.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crocuscross ] && [ -x target/review/case3 ] || exit 2
RECORD="review/3/record.txt" timeout -k 5 110 target/review/case3
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
