#!/bin/sh
# Plays the case of a class and a folder, from the repository's root, and leaves no process behind. The class ends with 10
# if the rule was broken and 0 if it held; whatever else happens (no class, no Java, a time-out), the case could not run.
case "${TROUBLE:-1}" in
    0) trouble=without ;;
    *) trouble=with ;;
esac
classes=review/standins-2/target/classes
[ -f "$classes/$1.class" ] || { echo "run review/build-2.sh first"; exit 2; }
processes="$2/processes.txt"
rm -f "$processes"
timeout -k 5 110 java -Xmx256m -cp "$classes" "$1" "$2" "$trouble" &
player=$!
end() { # what is still in the list was started by this play and has not been ended by it
    if [ -f "$processes" ]; then
        while read -r process; do kill -KILL "$process" 2> /dev/null; done < "$processes"
        rm -f "$processes"
    fi
}
trap 'kill -TERM "$player" 2> /dev/null; wait "$player"; end; exit 2' HUP INT TERM
wait "$player"
result=$?
end
case "$result" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
