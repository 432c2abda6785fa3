#!/bin/sh
# Builds the stand-ins and the player of the cases 11 to 15, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/trial ./review/_standins-3
