#!/usr/bin/env bash
# Runs both fleets in small on this machine: builds, starts, sends three requests, shows the fleet, stops.
# --keep leaves everything running and prints the addresses.
set -u
. "$(dirname "$0")/lib.sh"
keep=0; [ "${1:-}" = --keep ] && keep=1
base=${WINGSTALL_BASE_PORT:-21000}
need_tools
build
run_dir
trap '[ $keep = 1 ] || stop_all' EXIT

start_platform "127.0.0.1:$base"
port=$((base + 100))
endpoints() { start_endpoints "$@"; port=$((port + 10)); }
endpoints encoder pool menu-encoder kgn-a pool 2 $port --run-ms 8
endpoints retriever pool menu-retriever kgn-b pool 2 $port --run-ms 10
endpoints reranker pool menu-reranker spt-c pool 2 $port --run-ms 10
endpoints llm-new engine wingstall-llm kgn-a a-new 1 $port --slots 16 --run-ms 4
endpoints llm-old engine wingstall-llm kgn-b b-old 1 $port --slots 8 --run-ms 9
endpoints board plain kitchen-board spt-c plain 1 $port --run-ms 4
endpoints preorder plain preorder-api kgn-a plain 1 $port --run-ms 5
endpoints ledger plain pay-ledger kgn-b plain 2 $port --run-ms 15
endpoints arhiva plain arhiva kgn-a plain 1 $port --run-ms 8
endpoints far pool far kgn-b pool 1 $port --run-ms 8
endpoints briza engine briza spt-c a-new 1 $port --slots 16 --run-ms 5
start_gateway kgn-a-1 kgn-a $((base + 10))
start_gateway kgn-b-1 kgn-b $((base + 20))
start_gateway spt-c-1 spt-c $((base + 30))
register_members
export WINGSTALL_PLATFORM=$platform WINGSTALL_GATEWAY=127.0.0.1:$((base + 11))
"$home/bin/wingstallctl" table import "$home/config/demo/table.yaml" || fail "the import failed"
for p in 11 21 31; do wait_ready "127.0.0.1:$((base + p))"; done

post() { # gateway's port, pipeline, body, further curl options
  local port=$1 pipeline=$2 body=$3; shift 3
  curl -sS -w '\n' "$@" -H 'content-type: application/json' -d "$body" "http://127.0.0.1:$port/v1/pipelines/$pipeline/requests"
}
echo; echo "== a menu plan of Dutchpot"
post $((base + 10)) menu-plan '{"workspace": "kitchen-leads", "input": {"text": "lunch for 4200, two lines, no peanuts"}}'
echo; echo "== a pre-order, sent twice under one key to two gateways: charged once"
order='{"workspace": "shift-workers", "idempotencyKey": "order-7731", "input": {"text": "jerk chicken, 12:10"}}'
first=$(post $((base + 20)) pre-order "$order"); echo "$first"
again=$(post $((base + 30)) pre-order "$order"); echo "$again"
[ "$first" = "$again" ] || fail "the two answers differ"
ledger=$((base + 170))
runs=0
for p in $ledger $((ledger + 1)); do
  n=$(curl -s "http://127.0.0.1:$p/admin/runs" | grep -o order-7731 | wc -l); runs=$((runs + n))
done
echo "charges at the ledger: $runs"
[ "$runs" = 1 ] || fail "charged $runs times"
echo; echo "== a briefing of Marea Deschisă, streamed"
post $((base + 30)) sea-briefing '{"workspace": "skippers", "input": {"text": "buoys 3, 7 and 9, last six hours"}}' -N -H 'accept: text/event-stream' | sed -n '1,4p;$!d' 
post $((base + 30)) sea-briefing '{"workspace": "skippers", "input": {"text": "buoys 3, 7 and 9, last six hours"}}'
echo; echo "== fleet status"
"$home/bin/wingstallctl" fleet status
if [ $keep = 1 ]; then
  echo; echo "running: callers at 127.0.0.1:$((base + 10)), $((base + 20)), $((base + 30)); operators one port above; platform $platform"
  echo "stop with: kill ${pids[*]}"
else
  stop_all
  echo "stopped"
fi
