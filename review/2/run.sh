#!/bin/sh
# Plays this case against the proxies that the deploy file builds; run the deploy file's build and review/build.sh before.
# Writes what was sent, answered and run to record.txt beside this script, and ends all processes that it started.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/cases ] && [ -x bin/hatchproxy ] || { echo "not built" >&2; exit 2; }
exec timeout -k 5 115 review/bin/cases midline review/2/record.txt
