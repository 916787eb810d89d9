#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin/platform
