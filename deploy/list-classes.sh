#!/bin/sh
# Writes the class list of the class-data archive: the classes loaded by a start and a stop on this
# machine, and the classes that a host loaded on the users' test bench before it had served its
# first requests.
# Usage: sh deploy/list-classes.sh LOG > deploy/archive-classes.txt
# LOG is the output of `fleetbench run ... --log NODE` for a day that was run with the additional
# option -Xlog:class+load:stdout in deploy/system.toml.
set -eu
started=$(mktemp)
java -Xmx128m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.jfr.enabled=false \
  -XX:DumpLoadedClassList="$started" \
  -jar target/lentilhinge.jar serve --settings deploy/archive.ini > /dev/null 2>&1 &
host=$!
sleep 2
kill -TERM "$host"
wait "$host" || true
cat "$started"
# Classes generated at run time (lambdas, proxies) cannot be listed by name.
grep -o '\[class,load\] [^ ]* source: [^ ]*' "$1" |
  grep -v -e 'Lambda' -e '/0x' -e 'Proxy' -e 'source: __' |
  awk '{ gsub(/\./, "/", $2); print $2 }' |
  awk 'NR == FNR { seen[$1] = 1; next } !seen[$0]++' "$started" -
rm -f "$started"
