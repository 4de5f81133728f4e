#!/bin/sh
# Runs the soak (package quotagateway.soak, test sources). Builds the jar and starts it with the run line of
# deploy/balancer.toml; "deploy/soak.sh --help" lists the options.
set -e
cd "$(dirname "$0")/.."
sh deploy/build.sh
mvn -q -B test-compile dependency:build-classpath -Dmdep.includeScope=test \
    -Dmdep.outputFile=target/soak.classpath
exec java -Xmx1g -XX:+UseSerialGC -Djava.net.preferIPv4Stack=true \
    -cp "target/classes:target/test-classes:$(cat target/soak.classpath)" quotagateway.soak.SoakCommand "$@"
