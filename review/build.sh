#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK that the deploy file's build needs, and nothing else.
set -eu
cd "$(dirname "$0")"
rm -rf standins/classes
mkdir -p standins/classes
javac -Xlint:all,-serial -d standins/classes standins/src/*.java
