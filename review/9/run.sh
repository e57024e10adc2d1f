#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/rockcrank ] && [ -x review/build/case-9 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
review/build/case-9 review/9/record.txt &
case=$!
trap 'kill "$case" 2>/dev/null' INT TERM HUP
wait "$case"
code=$?
[ "$code" -gt 128 ] && wait "$case" 2>/dev/null
rm -rf "$TMPDIR"
[ "$code" -le 1 ] || code=2
exit "$code"
