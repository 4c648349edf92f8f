#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/target/classes/CommandsAtShutdown.class ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Xmx256m -cp review/standins-2/target/classes CommandsAtShutdown review/7
