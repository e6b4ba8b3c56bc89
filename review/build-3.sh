#!/bin/sh
# Builds the stand-ins of the third review's cases.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin3
