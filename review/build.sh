#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It needs nothing but the standard library.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS= GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review/standin .
