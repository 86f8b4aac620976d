#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 and the cases themselves, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java $(find review -path 'review/[0-9]*' -name 'Case[0-9]*.java' | grep -E '^review/([6-9]|10)/')
