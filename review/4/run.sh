#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
node case.mjs
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
