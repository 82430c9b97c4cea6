#!/usr/bin/env bash
# Installs what is missing, checks format and lint, builds, runs all tests and the model checker; prints one closing line.
set -u
. "$(dirname "$0")/lib.sh"
need_tools spin:spin gcc:gcc
cd "$home"
log=$(mktemp "${TMPDIR:-/tmp}/wingstall-test.XXXXXX")
failed=0
# Failures are counted from the reports: a failed module would keep those that depend on it from being tested.
mvn -B -fae -Dmaven.test.failure.ignore=true clean verify >"$log" 2>&1 || failed=1
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

# Lines "failed|skipped TAB class.method[parameters] TAB message" of the tests that did not pass.
not_passed() {
  cat */target/surefire-reports/TEST-*.xml 2>/dev/null | awk '
    /<testcase / { name = value($0, " name"); sub(/\([0-9]*\)$/, "", name); test = value($0, " classname") "." name }
    /<failure|<error / { print "failed\t" test "\t" value($0, " message") }
    /<skipped/ { print "skipped\t" test "\t" }
    function value(line, key) {
      if (!match(line, key "=\"[^\"]*\"")) return ""
      return substr(line, RSTART + length(key) + 2, RLENGTH - length(key) - 3)
    }'
}

touch KNOWN-RED.txt
sorted=$(not_passed | awk -f scripts/known-red.awk KNOWN-RED.txt -)
[ -n "$sorted" ] && echo "$sorted"
known=$(grep -c '^known red: ' <<<"$sorted")
bad=$((bad - $(grep -c '^known red: failed ' <<<"$sorted")))
bad=$((bad + $(grep -c '^skipped, which is not allowed: ' <<<"$sorted")))
# Whatever else stopped the build is no matter of single tests; a failed build that names no goal counts as well.
outside=$(grep '^\[ERROR\] Failed to execute goal' "$log" | grep -vc 'There are test failures')
crashed=$(grep -cE 'The forked VM terminated|error in the forked process|Crashed tests' "$log")
if [ "$outside" -gt 0 ] || [ "$crashed" -gt 0 ] || { [ $failed = 1 ] && [ $((failures + errors)) = 0 ]; }; then
  tail -40 "$log"
  echo "the build failed outside the tests"
  bad=$((bad + 1))
fi
echo "$((tests - bad - known)) passed, $bad failed"
[ "$bad" = 0 ] && [ "$tests" -gt 0 ]
