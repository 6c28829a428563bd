#!/usr/bin/env bash
# Plays crashes of endpoints on loopback addresses. It is no case. Exit code 1: fewer than a quarter of the
# requests after the return of all endpoints were served; 0: more; 2: it could not run. TROUBLE=0: no crashes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cactustrayd ] && [ -x bin/review-rig ] || exit 2
timeout 118 bin/review-rig saturated
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || exit 2
exit $code
