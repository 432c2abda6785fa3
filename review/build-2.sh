#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases ./review/_cases2
