#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/wheelrill ] || [ ! -x bin/review-2 ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
exec bin/review-2 shrink review/10/record.txt
