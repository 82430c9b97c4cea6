#!/usr/bin/env bash
# Plays each day of deploy/days/ on a site of the users' bench and prints its line, or the rules that broke.
#
#   scripts/days.sh BENCH SITE [JOBS]      BENCH: the users' program; SITE: a site file
set -eu
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || { echo "usage: scripts/days.sh BENCH SITE [JOBS]" >&2; exit 2; }
bench=$1 site=$2 jobs=${3:-2} broken=0
for day in deploy/days/*.toml; do
  report=$(mktemp "${TMPDIR:-/tmp}/wingstall-day.XXXXXX")
  "$bench" run "$site" "$day" --jobs "$jobs" >"$report" 2>&1 || broken=$((broken + 1))
  name=$(basename "$day" .toml)
  grep -E "^$name " "$report" || { echo "$name was not played:"; tail -3 "$report"; }
  grep -E 'BROKEN|broken|short of the gate' "$report" || true
done
[ $broken = 0 ]
