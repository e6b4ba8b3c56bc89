#!/bin/sh
# Runs the case for 120 seconds at most; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")/../../.." || exit 2
exec target/review-standin2 waiting target/bluebellplatformd review/found-2/waiting/record.txt
