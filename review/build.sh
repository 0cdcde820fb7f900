#!/usr/bin/env bash
# Builds what the scripts of the cases start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/rig
