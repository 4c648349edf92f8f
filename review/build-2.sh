#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK of the build and nothing else.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir -p target/classes
javac -Xlint:all -Xlint:-try -d target/classes src/*.java
