#!/bin/sh
# Builds the case and its stand-ins.
set -eu
cd "$(dirname "$0")"
mkdir -p "${CLASSES:-target/classes}"
javac --release 17 -d "${CLASSES:-target/classes}" ./*.java
