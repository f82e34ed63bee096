#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
node "$(dirname "$0")/case.js" &
pid=$!
trap 'kill "$pid"' INT TERM
wait "$pid"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
