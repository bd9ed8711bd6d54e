#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="review/bin/case-$(basename "$folder")"
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
RECORD="$folder/record.txt" "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
