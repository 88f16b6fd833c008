#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. The scripts also need the build of deploy/system.toml.
cd "$(dirname "$0")/standin-3" || exit 2
GOWORK=off exec go build -o ../../target/review-3/scenario .
