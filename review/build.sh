#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/rig
