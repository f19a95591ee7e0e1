#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/rig-2
