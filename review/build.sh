#!/usr/bin/env bash
# Builds the harness of the cases, with all stand-ins that they start. The programs under test are those of the build
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -o review/_bin/harness ./review/_harness
