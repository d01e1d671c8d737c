#!/usr/bin/env bash
# Case 3: a valid configuration that adds a route with the priority 3 ends every
# entry instance.
# TROUBLE=0 adds the route with the priority 2. Exit code: 1 broken, 0 held, 2 not run.
set -uo pipefail
cd "$(dirname "$0")"
program=../../target/cicadacove
if [ ! -x "$program" ] || [ ! -x ../bin/standin ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec ../bin/standin -case priority -program "$program" -record record.txt -trouble="$trouble"
