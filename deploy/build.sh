#!/bin/sh
# Builds the jar, and a class-data archive that makes starts shorter. A start without the archive
# works, too, so that a failure to make it fails nothing.
set -eu
mvn -q --batch-mode -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package
rm -f target/lentilhinge.jsa
java -XX:ArchiveClassesAtExit=target/lentilhinge.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
  -Xmx128m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -jar target/lentilhinge.jar serve --settings deploy/archive.ini > /dev/null 2>&1 &
archived=$!
sleep 2
kill -TERM "$archived" 2> /dev/null || true
wait "$archived" || true
