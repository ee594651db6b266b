#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the crash.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
timeout --kill-after=1 118 python3 case.py
status=$?
case $status in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
