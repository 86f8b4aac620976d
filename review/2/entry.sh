#!/bin/sh
# Shows the entry ONE of KNOWN-RED.txt, which has the same cause as this case; see claim.txt. It writes
# record.txt into the folder entry/. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")"
mkdir -p entry
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec java -Xmx64m -cp ../target/standin EmptyEngine entry ../..
