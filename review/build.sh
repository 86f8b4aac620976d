#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")"
mkdir -p target/standin
javac --release 17 -d target/standin standin/*.java
