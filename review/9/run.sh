#!/bin/sh
# A media node drains while discovery takes 1.8 s to answer a request. About 52 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
# It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] || { echo "review/build-2.sh has not run" >&2; exit 2; }
exec target/review-2/review-2 slow-discovery review/9/record.txt
