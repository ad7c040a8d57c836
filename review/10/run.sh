#!/bin/sh
# A session ends after its viewer's resting connection did. About 30 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
# It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] || { echo "review/build-2.sh has not run" >&2; exit 2; }
exec target/review-2/review-2 unsent-end review/10/record.txt
