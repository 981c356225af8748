#!/bin/sh
# See claim.txt. TROUBLE=0 names the route without an underscore.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standins ] || exit 2
exec target/review-2/standins route_name review/7
