#!/usr/bin/env bash
# Prints the processor time of a fleet's gateways for each start, each idle second and each request, by the job of their threads.
# The gateways run as deploy/system.toml says, which has to be built.
#
#   scripts/fleet-cost.sh [BOXES [ENGINES [CALLERS_A_SECOND [SECONDS [JVM OPTION...]]]]]      80, 40, 60 and 30 when left out
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
numbers=(80 40 60 30)
for ((i = 0; i < 4 && $# > 0; i++)); do numbers[i]=$1; shift; done
parts=standin/target/classes:net/target/classes:core/target/classes:schema/target/classes
read -r -a command <<<"$(deployed_options)"
exec java -Xmx512m -cp "$parts:target/lib/*" org.wingstall.standin.fleet.FleetCost "${numbers[@]}" \
  java "${command[@]}" "$@" -jar target/wingstall-relay.jar
