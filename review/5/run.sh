#!/usr/bin/env bash
# A gang that has to be in one zone waits for ever, since only the zone with the most room is asked for machines.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Run it from anywhere, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/classes/OtherZone.class ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Xmx256m -cp review/standins-2/classes OtherZone review/5
