#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption. It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crocuscross ] && [ -x target/review-2/case-5 ] || { echo "not built"; exit 2; }
exec target/review-2/case-5
