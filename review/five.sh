#!/bin/sh
# Plays each case N times (5 unless told), one after the other, and once without the disruption; prints the exit codes.
cd "$(dirname "$0")/.." || exit 2
for case in review/[0-9]*; do
  codes=
  for i in $(seq "${1:-5}"); do "$case/run.sh" > /dev/null 2>&1; codes="$codes $?"; done
  TROUBLE=0 "$case/run.sh" > /dev/null 2>&1
  echo "$case: with the disruption$codes; without it $?"
done
