#!/bin/sh
# Builds the jar, and beside it an archive of class data that makes the start cheap: the classes are those that
# the tests of the gateway, of its command and of its warm-up load. Without the archive the program runs all the same.
set -e
mvn -q -B -DskipTests package
mvn -q -B surefire:test -Dtest=GatewayServerTest,ServeCommandTest,WarmUpTest \
    "-DargLine=-Djava.net.preferIPv4Stack=true -XX:DumpLoadedClassList=target/classes.lst" &&
  java -Xshare:dump -XX:+UseSerialGC -Xlog:disable -Xlog:all=off -XX:SharedClassListFile=target/classes.lst \
    -XX:SharedArchiveFile=target/quota-gateway.jsa -jar target/quota-gateway.jar > target/archive.log 2>&1 ||
  echo "no class-data archive: see target/archive.log" >&2
