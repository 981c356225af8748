#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/amaranthyoked target/review/stop; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review/stop review/5/record.txt
