#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3 ./review/11/standin
