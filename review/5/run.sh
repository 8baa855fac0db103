#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || exit 2
exec python3 case.py
