#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/rockcrank ] && [ -x review/build/case-6 ] || exit 2
exec review/build/case-6 review/6/record.txt
