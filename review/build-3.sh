#!/usr/bin/env bash
# Builds the programs of the cases in review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5]; do
  if [ -f "$folder/main.go" ]; then
    go build -o "target/review-3/case-$(basename "$folder")" "./$folder"
  fi
done
