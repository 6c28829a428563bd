#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/11 to review/15. Run it in the repository, after the
# build of deploy/system.toml. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/_rig3
