#!/usr/bin/env bash
# Plays the case against the controller of the deploy file: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it plays the same without the disruption. review/build.sh has to have built the stand-in.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
run=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -x review/bin/standin ] && [ -n "$run" ] || exit 2
exec review/bin/standin -case release -record "$folder/record.txt" -run "$run" -root "$PWD"
