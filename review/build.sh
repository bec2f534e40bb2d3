#!/bin/sh
# Builds the stand-ins of the cases into target/. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
