#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15. The store's stand-in is a part of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
test -f target/comfreypath.jar || mvn -B -q -DskipTests -Ddetekt.skip=true package
mkdir -p target/review-3
javac -d target/review-3 review/rig-3/*.java
