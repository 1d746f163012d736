#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK="$PWD/go.work" go build -o ../target/review-standin ./standin
