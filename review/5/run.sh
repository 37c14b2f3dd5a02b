#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Ends with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. The program ends all that it starts, also when it or this script is ended early.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=target/review/$(basename "$folder")
cd "$root" || exit 2
if [ ! -x target/fulmartided ] || [ ! -x "$program" ]; then
  echo "build first: the deploy file's build, then review/build.sh"
  exit 2
fi
"$program" "$root" "$folder" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  code=$?
done
[ "$code" -le 1 ] || exit 2
exit "$code"
