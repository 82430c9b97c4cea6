#!/usr/bin/env bash
# Runs the scenarios of both fleets on several policies in turn and prints the comparison; bounded to about ten minutes.
# Arguments: names of scenarios (files in config/bench); all of both fleets when there are none.
# WINGSTALL_REPEATS: runs of each policy (2). WINGSTALL_FACTORS: arrival rates of the goodput sweep (0.5 1 1.5 2 3).
# WINGSTALL_POLICIES: policies to run; "previous" takes gateways from
# WINGSTALL_PREVIOUS_LIB, a copy of an earlier version's it/target/lib. WINGSTALL_OUT: folder for reports.
set -u
. "$(dirname "$0")/lib.sh"
base=${WINGSTALL_BASE_PORT:-23000}
repeats=${WINGSTALL_REPEATS:-2}
scenarios=("$@")
[ ${#scenarios[@]} -gt 0 ] || scenarios=(lunch dawn slow-endpoint silent-endpoint lost-domain overload-2x workspace-burst)
policies=(${WINGSTALL_POLICIES:-round-robin least-in-flight power-of-two wingstall})
need_tools
build
run_dir
trap stop_all EXIT

baseline="admission: all, ordering: arrival, prefixAffinity: false"
declare -A settings=(
  [round-robin]="policy: {routing: round-robin, $baseline}"
  [least-in-flight]="policy: {routing: least-in-flight, $baseline}"
  [power-of-two]="policy: {routing: power-of-two, $baseline}"
  [wingstall]=""
  [previous]=""
  [no-affinity]="policy: {prefixAffinity: false}"
  [no-admission]="policy: {admission: all}"
  [pace]="policy: {waitEstimate: pace}"
  [arrival-order]="policy: {ordering: arrival}"
  [hedge]="policy: {hedgeBudgetPercent: 5}"
  [quantile-90]="policy: {admissionQuantile: 0.9}"
  [p2c-routing]="policy: {routing: power-of-two}"
)
# What an operator would run otherwise has no window at the gateway: all waiting is at the endpoints.
sed 's/maxInFlight: [0-9]*/maxInFlight: 10000/' "$home/config/bench/table.yaml" >"$run/open-table.yaml"

port=$((base + 500))
endpoints() { start_endpoints "$@"; port=$((port + 10)); }
endpoints encoder pool menu-encoder kgn-a pool 2 $port --run-ms 6 --slots 8 --jitter 0.3
endpoints retriever pool menu-retriever kgn-b pool 2 $port --run-ms 10 --slots 8 --jitter 0.3
llm=$port
endpoints llm-new engine wingstall-llm kgn-a new 2 $port --slots 16 --run-ms 10 --prefill-ms 5 --slow-down 0.05
endpoints llm-old engine wingstall-llm kgn-b old 2 $port --slots 8 --run-ms 20 --prefill-ms 5 --slow-down 0.05
endpoints arhiva plain arhiva kgn-a pool 2 $port --run-ms 8 --slots 8
endpoints far pool far kgn-b pool 2 $port --run-ms 8 --slots 8
endpoints briza-new engine briza kgn-a new 1 $port --slots 16 --run-ms 10 --prefill-ms 5 --slow-down 0.05
briza=$port
endpoints briza-old engine briza spt-c old 2 $port --slots 8 --run-ms 20 --prefill-ms 5 --slow-down 0.05
endpoint_members=("${members[@]}")

targets=()
n=0
for policy in "${policies[@]}"; do
  p=$((base + n * 40)); n=$((n + 1))
  members=("${endpoint_members[@]}")
  platform=127.0.0.1:$p
  start "platform-$policy" "$home/bin/wingstall-standin" platform --listen "$platform"
  wait_for "the platform's start" grep -q listening "$run/platform-$policy.out"
  i=0
  for domain in kgn-a kgn-b spt-c; do
    i=$((i + 1))
    lib=$home/it/target/lib
    [ "$policy" = previous ] && lib=${WINGSTALL_PREVIOUS_LIB:?names the programs of an earlier version}
    export WINGSTALL_LIB=$lib
    start_gateway "$policy-$i" $domain $((p + 10 * i)) "${settings[$policy]}"
    unset WINGSTALL_LIB
  done
  register_members
  table=$home/config/bench/table.yaml
  case $policy in round-robin | least-in-flight | power-of-two) table=$run/open-table.yaml ;; esac
  "$home/bin/wingstallctl" --platform "$platform" table import "$table" >/dev/null || fail "the import failed"
  targets+=("$policy=127.0.0.1:$((p + 10)),127.0.0.1:$((p + 20)),127.0.0.1:$((p + 30))")
  for j in 1 2 3; do wait_ready "127.0.0.1:$((p + 10 * j + 1))"; done
done

for scenario in "${scenarios[@]}"; do
  if [ "$scenario" = goodput ]; then
    "$home/bin/wingstall-load" sweep --scenario "$home/config/bench/goodput.yaml" --policy "${targets[@]}" \
      --factors ${WINGSTALL_FACTORS:-0.5 1 1.5 2 3} --repeats "$repeats" --seed 7 || fail "$scenario failed"
    continue
  fi
  out=()
  [ -n "${WINGSTALL_OUT:-}" ] && out=(--out "$WINGSTALL_OUT/$scenario")
  "$home/bin/wingstall-load" compare --scenario "$home/config/bench/$scenario.yaml" --policy "${targets[@]}" \
    --endpoint llm-new-0=127.0.0.1:$llm briza-old-0=127.0.0.1:$briza briza-old-1=127.0.0.1:$((briza + 1)) --repeats "$repeats" --seed 7 "${out[@]}" || fail "$scenario failed"
done
