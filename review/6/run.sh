#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the users' build and review/build-2.sh.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
program=target/review-2/release/review-2
[ -x "$program" ] || exit 2
RECORD="$dir/record.txt" exec "$program" silent
