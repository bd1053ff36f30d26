#!/bin/bash
# Builds the stand-ins and drivers of the cases into review/target/, with the JDK alone.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes
javac -Xlint:all -d target/classes rig/*.java [1-9]/*.java
