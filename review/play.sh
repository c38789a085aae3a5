#!/bin/sh
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. Ends the daemons also if it is ended itself.
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/release/review-standin ] && [ -x target/release/gaplock-node ] || exit 2
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
end() {
    while read -r id; do
        kill -KILL "$id" 2>/dev/null
    done <"$REVIEW_PROCESSES"
    rm -f "$REVIEW_PROCESSES"
}
trap end EXIT
trap 'kill "$case" 2>/dev/null; exit 2' HUP INT TERM
target/review/release/review-standin "$1" "$2" &
case=$!
wait "$case"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
