#!/bin/bash
# Plays the case; claim.txt says which. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/second/bin/second ] || [ ! -x bin/hatchproxy ]; then
  echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
fi
exec review/second/bin/second upgrade-drain review/10/record.txt "$PWD"
