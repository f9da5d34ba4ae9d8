#!/usr/bin/env bash
# Where the cloud has no machine of the cheaper type, tasks that fill one wait for ever beside a larger type.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Run it from anywhere, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/classes/OtherType.class ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Xmx256m -cp review/standins-2/classes OtherType review/8
