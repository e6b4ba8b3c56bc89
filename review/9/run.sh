#!/bin/sh
# Runs case 9 for 120 seconds at most. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin2 rejected target/bluebellplatformd review/9/record.txt
