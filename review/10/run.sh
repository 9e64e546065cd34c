#!/bin/sh
# Plays the case improper-request. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the build line of deploy/balancer.toml, and review/build-2.sh.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
[ -x review/bin/cases-2 ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
exec review/bin/cases-2 improper-request "$dir/record.txt"
