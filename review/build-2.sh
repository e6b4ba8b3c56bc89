#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. They need nothing but the standard library, and
# are modules of their own, so that they stay out of the build, the linter and the tests of the project.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
for module in standin2 standin3; do
  (cd "$module" && GOFLAGS= GOWORK=off GOTOOLCHAIN=local go build -o "../../target/review-$module" .)
done
