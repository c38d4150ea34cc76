#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: could not run. TROUBLE=0: no cut.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
python3 -m review.1.case &
case=$!
trap 'kill "$case"' TERM INT
wait "$case"
status=$?
if [ "$status" -gt 128 ]; then
    # A signal ended the wait: the processes are ended before this one is.
    wait "$case"
    exit 2
fi
case "$status" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
