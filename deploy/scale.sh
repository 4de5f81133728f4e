#!/bin/sh
# Runs the scale tests (package quotagateway.scale, test sources); "deploy/scale.sh --help" lists the options.
# Uses the serial garbage collector and only the first compiler tier, like the run line of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mvn -q -B test-compile dependency:build-classpath -Dmdep.includeScope=test \
    -Dmdep.outputFile=target/scale.classpath
exec java -Xmx6g -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Djava.net.preferIPv4Stack=true \
    -cp "target/classes:target/test-classes:$(cat target/scale.classpath)" quotagateway.scale.ScaleCommand "$@"
