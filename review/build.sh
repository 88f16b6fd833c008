#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
GOWORK=off GOFLAGS=-buildvcs=false go build -C review/standin -o ../../target/review-standin .
