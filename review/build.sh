#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file. They need no dependency.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin .
