#!/bin/sh
# Runs case 6 for 120 seconds at most. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin2 replaced target/bluebellplatformd review/6/record.txt
