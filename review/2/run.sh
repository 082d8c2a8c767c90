#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/standin ] || { echo "run review/build.sh first"; exit 2; }
exec ../../target/review/standin store-copy ../.. .
