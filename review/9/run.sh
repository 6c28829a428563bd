#!/usr/bin/env bash
# Plays case 9 on loopback addresses. Exit code 1: the rule was broken; 0: it held; 2: the case
# could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cactustrayd ] && [ -x bin/review-rig ] || exit 2
timeout 118 bin/review-rig 9
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || exit 2
exit $code
