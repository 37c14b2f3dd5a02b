#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
[ -x target/fulmartided ] && [ -x "target/review/$(basename "$folder")" ] || { echo "build first"; exit 2; }
exec timeout -k 2 118 "target/review/$(basename "$folder")" "$root" "$folder"
