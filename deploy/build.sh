#!/bin/sh
# Builds the jar and a class-data sharing (CDS) archive that speeds up the start. The archive contains the classes that
# the tests of the gateway, of its command and of its warm-up load. The gateway also runs without the archive.
set -e
mvn -q -B -DskipTests package
mvn -q -B surefire:test -Dtest=GatewayServerTest,ServeCommandTest,WarmUpTest \
    "-DargLine=-Djava.net.preferIPv4Stack=true -XX:DumpLoadedClassList=target/classes.lst" &&
  java -Xshare:dump -XX:+UseSerialGC -Xlog:disable -Xlog:all=off -XX:SharedClassListFile=target/classes.lst \
    -XX:SharedArchiveFile=target/quota-gateway.jsa -jar target/quota-gateway.jar > target/archive.log 2>&1 ||
  echo "class-data archive was not built: see target/archive.log" >&2
