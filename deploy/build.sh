#!/bin/sh
# Builds the jar and a class-data archive (CDS) of the classes that a host loads until it has served
# its first requests. A host also starts without the archive, so a failure to create the archive
# does not fail the build.
set -eu
mvn -q --batch-mode -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package
rm -f target/lentilhinge.jsa
java -Xshare:dump -Xlog:cds=off -Xmx128m -XX:+UseSerialGC \
  -XX:SharedClassListFile=deploy/archive-classes.txt -XX:SharedArchiveFile=target/lentilhinge.jsa \
  -cp target/lentilhinge.jar > /dev/null 2>&1 || true
