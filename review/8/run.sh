#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and
# review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || exit 2
exec timeout --kill-after=5 110 target/review-2/case-8 review/8
