#!/bin/sh
# Builds the stand-ins of the second review's cases. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/standin-2 .
