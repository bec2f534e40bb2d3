#!/bin/sh
# Builds the stand-ins of the second review into target/. They use the standard library only.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS= go build -o ../../target/review-standin-2 .
