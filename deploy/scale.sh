#!/bin/sh
# Runs the scale tests (package quotagateway.scale, test sources); "deploy/scale.sh --help" lists the options.
# One collector thread and the first compiler tier alone, as in the run line of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mvn -q -B test-compile dependency:build-classpath -Dmdep.includeScope=test \
    -Dmdep.outputFile=target/scale.classpath
exec java -Xmx6g -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Djava.net.preferIPv4Stack=true \
    -cp "target/classes:target/test-classes:$(cat target/scale.classpath)" quotagateway.scale.ScaleCommand "$@"
