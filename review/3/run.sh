#!/bin/sh
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 plays no disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 java -Xmx512m -cp ../standins/classes BrokenValue record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
