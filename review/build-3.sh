#!/bin/sh
# Builds the stand-ins of the scripted cases of this review into target/.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3 ./review/_standin3/platform
