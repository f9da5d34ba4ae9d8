#!/usr/bin/env bash
# A gang of 500 tasks is accepted and never started.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Run it from anywhere, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/classes/LargeGang.class ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Xmx256m -cp review/standins-2/classes LargeGang review/8
