#!/usr/bin/env bash
# Prints the processor time of a gateway's start, by phase and by the job of its threads: medians of STARTS starts of the
# command in deploy/system.toml, which has to be built.
#
#   scripts/start-cost.sh [STARTS] [JVM OPTION...]      10 starts when left out; the options come after the deployed ones
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
starts=${1:-10}
[ $# = 0 ] || shift
parts=standin/target/classes:net/target/classes:core/target/classes:schema/target/classes
read -r -a command <<<"$(deployed_options)"
exec java -Xmx128m -cp "$parts:target/lib/*" org.wingstall.standin.fleet.StartCost "$starts" \
  java "${command[@]}" "$@" -jar target/wingstall-relay.jar
