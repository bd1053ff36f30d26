#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10. They need the JDK only.
set -e
cd "$(dirname "$0")/rig-2"
mkdir -p target/classes
javac -Xlint:all -d target/classes ./*.java
