#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -f "$root/target/micatally.jar" ] || [ ! -f "$root/target/review/RestartedController.class" ]; then
  echo "build the deploy file's program and run review/build.sh first"
  exit 2
fi
exec java -Xmx256m -cp "$root/target/review" RestartedController "$PWD" "$root"
