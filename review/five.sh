#!/bin/sh
# Plays each case N times (5 unless told), one after the other, and once without the disruption. Prints exit codes and counts.
cd "$(dirname "$0")/.." || exit 2
for case in review/[0-9]*; do
  for i in $(seq "${1:-5}"); do
    seen=$("$case/run.sh" 2>&1)
    echo "$case: $? $(echo "$seen" | head -n 1)"
  done
  seen=$(TROUBLE=0 "$case/run.sh" 2>&1)
  echo "$case: $? $(echo "$seen" | head -n 1)"
done
