#!/usr/bin/env bash
# Runs the case dependent-steps; TROUBLE=0 leaves out the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/node ] && [ -x review/_bin/harness ] || { echo "build deploy/system.toml and run review/build.sh first" >&2; exit 2; }
exec review/_bin/harness dependent-steps review/4
