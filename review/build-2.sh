#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases 4 to 8. They need the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
rm -rf classes
mkdir classes
javac -d classes ./*.java
