#!/bin/sh
# Builds the stand-ins and clients of the scripts in review/4 to review/8, with the standard library alone.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
cd "$root/review/cases"
GOWORK=off go build -o "$root/target/review-2/cases" .
