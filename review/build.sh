#!/usr/bin/env bash
# Builds the stand-ins of the cases with the JDK alone. The controllers are built by the deploy file's build command.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
javac -d ../target/review standins/*.java
