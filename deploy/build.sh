#!/bin/sh
# Builds the jar, and a class-data archive of the classes that a host needs until it has served its
# first requests. A start without the archive works, too, so that a failure to make it fails nothing.
set -eu
mvn -q --batch-mode -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package
rm -f target/lentilhinge.jsa
java -Xshare:dump -Xlog:cds=off -Xmx128m -XX:+UseSerialGC \
  -XX:SharedClassListFile=deploy/archive-classes.txt -XX:SharedArchiveFile=target/lentilhinge.jsa \
  -cp target/lentilhinge.jar > /dev/null 2>&1 || true
