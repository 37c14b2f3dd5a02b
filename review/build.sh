#!/usr/bin/env bash
# Builds the programs that the scripts of the review start beside that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 1 2 3 4 5; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review/$n" "./review/$n"
  fi
done
