#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/_standin2/platform
