#!/usr/bin/env bash
# Installs what is missing, checks format and lint, builds, runs all tests and the model checker; prints one closing line.
set -u
. "$(dirname "$0")/lib.sh"
need_tools spin:spin gcc:gcc
cd "$home"
log=$(mktemp "${TMPDIR:-/tmp}/wingstall-test.XXXXXX")
failed=0
mvn -B -fae clean verify >"$log" 2>&1 || failed=1
grep -E '^\[(ERROR|WARNING)\] .*(\.java|Tests|FAIL|There are|violation)|Tests run:.*(FAILURE|ERROR)|BUILD' "$log" | sort -u | head -60

# One line for each module, and the sum over all reports.
sum() { sed -n "s/.*<testsuite [^>]*$1=\"\([0-9]*\)\".*/\1/p" $(ls */target/surefire-reports/TEST-*.xml 2>/dev/null) /dev/null | awk '{s+=$1} END {print s+0}'; }
tests=$(sum tests); failures=$(sum failures); errors=$(sum errors); skipped=$(sum skipped)

model=0
if ls spec/promela/*.pml >/dev/null 2>&1; then
  scripts/model-check.sh && tests=$((tests + 1)) || { model=1; tests=$((tests + 1)); }
  scripts/model-check.sh --broken && tests=$((tests + 1)) || { model=$((model + 1)); tests=$((tests + 1)); }
fi
bad=$((failures + errors + model))
# A module whose tests were not run at all has failed.
for module in */src/test; do
  module=${module%%/*}
  ran=$(sed -n 's/.*<testsuite [^>]*tests="\([0-9]*\)".*/\1/p' "$module"/target/surefire-reports/TEST-*.xml 2>/dev/null | awk '{s+=$1} END {print s+0}')
  [ "$ran" -gt 0 ] || { echo "no test of module $module was run"; bad=$((bad + 1)); tests=$((tests + 1)); }
done
echo "Tests run: $tests, Failures: $((failures + model)), Errors: $errors, Skipped: $skipped"
if [ "$bad" -gt 0 ]; then
  grep -hoE '<testcase name="[^"]*" classname="[^"]*"|<failure|<error ' */target/surefire-reports/TEST-*.xml \
    | awk '/^<testcase/ {t=$0} /^<failure|^<error/ {print "failed: " t}'
fi
if [ $failed = 1 ] && [ "$bad" = 0 ]; then
  tail -40 "$log"; echo "the build failed outside the tests"; echo "$tests passed, 1 failed"; exit 1
fi
[ "$skipped" -gt 0 ] && { echo "skipped tests are not allowed"; bad=$((bad + skipped)); }
echo "$((tests - bad)) passed, $bad failed"
[ "$bad" = 0 ] && [ "$tests" -gt 0 ]
