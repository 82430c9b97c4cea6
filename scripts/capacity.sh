#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md on this machine. Bounded to about ten minutes; with names of parts
# (gateway, tokens, claims, peers, lists, state) only those.
set -u
. "$(dirname "$0")/lib.sh"
base=${WINGSTALL_BASE_PORT:-26000}
need_tools
build
run_dir
trap stop_all EXIT

metric() { # operator address, name
  curl -s "http://$1/metrics" | awk -v n="$2" '$1 == n {print $2}'
}
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

import() {
  cat >"$run/table.yaml" <<YAML
pipeline:
  - {name: echo, deadlineMs: 2000, stages: [{name: echo, service: echo, kind: pool, expectedMs: 2}]}
  - {name: generate, deadlineMs: 10000, stages: [{name: generate, service: llm, kind: engine, maxTokens: 64, expectedMs: 600}]}
  - {name: order, deadlineMs: 3000, stages: [{name: charge, service: ledger, kind: plain, repeatable: false, expectedMs: 5}]}
workspace: [{name: w}]
box-class: [{name: pool, maxInFlight: 2000}]
YAML
  "$home/bin/wingstallctl" --platform "$platform" table import "$run/table.yaml" >/dev/null || fail "the import failed"
}

pause() { read -r -t "$1" <> <(:) || true; }
operator_of() { echo "127.0.0.1:$((base + 711 + 10 * $1))"; }

start_one_gateway() {
  start_platform "127.0.0.1:$base"
  start_endpoints echo pool echo d pool 1 $((base + 500)) --compute
  start_endpoints ledger plain ledger d pool 2 $((base + 510)) --run-ms 5 --slots 500
  start_endpoints llm engine llm d pool 2 $((base + 520)) --run-ms 8 --slots 1000
  start_gateway gw-1 d $((base + 10)) "eventLoopThreads: 2"
  gateway_pid=${pids[-1]}
  register_members; import; wait_ready "127.0.0.1:$((base + 11))"
}

# Starts a failure domain of some gateways with a heap of 32 MB and C1 only.
start_domain() { # count
  local count=$1
  run_dir
  start_platform "127.0.0.1:$((base + 700))"
  for ((i = 1; i <= count; i++)); do
    export WINGSTALL_JAVA_OPTS="-Xmx32m -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
    start_gateway "box-$i" d $((base + 710 + 10 * i))
  done
  unset WINGSTALL_JAVA_OPTS
  register_members; import
  for ((i = 1; i <= count; i++)); do wait_ready "$(operator_of "$i")"; done
}

# Prints a membership list of endpoints; a second argument gives their incarnation.
members_json() { # count, incarnation
  awk -v n="$1" -v inc="${2:-0}" 'BEGIN {
    printf "{\"members\":["
    for (i = 0; i < n; i++) printf "%s{\"memberId\":\"engine-%d\",\"kind\":\"endpoint\",\"failureDomain\":\"d-%d\",\"address\":\"127.0.0.1:1\",\"service\":\"llm-%d\",\"boxClass\":\"plain\",\"state\":\"live\",\"incarnation\":%d}", i ? "," : "", i, i % 18, i % 13, inc
    printf "]}"}'
}

all_know() { # boxes, endpoints
  local box
  for ((box = 1; box <= $1; box++)); do
    [ "$(curl -s "http://$(operator_of "$box")/v1/fleet" | grep -o '"memberId"' | wc -l)" -ge "$2" ] || return 1
  done
}

# Sums up the bytes of bodies that each box had from the platform.
sum_platform_bytes() { # boxes
  local box bytes
  sum=0
  for ((box = 1; box <= $1; box++)); do
    bytes=$(metric "$(operator_of "$box")" wingstall_platform_body_bytes)
    sum=$(awk -v sum="$sum" -v bytes="$bytes" 'BEGIN {printf "%.0f", sum + bytes}')
  done
}

measure_gateway() {
  echo "== a gateway's own cost: calls of an endpoint that answers at once, directly and through one gateway, in turn"
  start_one_gateway
  direct='{"requestId":"r","stage":"echo","attempt":1,"workspace":"w","precedence":5,"remainingMs":1000,"input":{"text":"x"}}'
  request='{"workspace":"w","input":{"text":"x"}}'
  for round in 1 2 3; do
    echo "direct:  $("$home/bin/wingstall-load" direct --target 127.0.0.1:$((base + 500)) --path /v1/stage --body "$direct" --connections 16 --seconds 4)"
    cpu0=$(awk '{print $14 + $15}' "/proc/$gateway_pid/stat")
    echo "gateway: $("$home/bin/wingstall-load" direct --target 127.0.0.1:$((base + 10)) --path /v1/pipelines/echo/requests --body "$request" --connections 16 --seconds 4), processor time $(($(awk '{print $14 + $15}' "/proc/$gateway_pid/stat") - cpu0)) ticks of 10 ms over 7 s"
  done
  echo "resident memory of the gateway: $(resident_kb "$gateway_pid") KB"
  stop_all; members=()
}

measure_tokens() {
  echo "== processor time of one gateway for a streamed token: requests of 64 tokens, after a warm-up of 4 s"
  start_one_gateway
  for rate in 10 25 50 100; do
    cat >"$run/tokens.yaml" <<YAML
name: tokens
durationMs: 10000
warmupMs: 2000
streams: [{pipeline: generate, workspace: w, perSecond: $rate, deadlineMs: 10000, streamed: true}]
YAML
    cpu0=$(awk '{print $14 + $15}' "/proc/$gateway_pid/stat")
    tokens0=$(metric "127.0.0.1:$((base + 11))" 'wingstall_stage_tokens_total{pipeline="generate",stage="generate"}')
    "$home/bin/wingstall-load" run --scenario "$run/tokens.yaml" --policy "one=127.0.0.1:$((base + 10))" --seed "$rate" >"$run/tokens.out"
    cpu1=$(awk '{print $14 + $15}' "/proc/$gateway_pid/stat")
    tokens1=$(metric "127.0.0.1:$((base + 11))" 'wingstall_stage_tokens_total{pipeline="generate",stage="generate"}')
    awk -v r="$rate" -v c="$((cpu1 - cpu0))" -v t0="${tokens0:-0}" -v t1="$tokens1" \
      'BEGIN {printf "%d requests/s: %.0f tokens, %.1f us of processor time by token, requests included\n", r, t1-t0, c*10000/(t1-t0)}'
    awk '/one:/ || $1 == "one"' "$run/tokens.out"
  done
  stop_all; members=()
}

measure_claims() {
  echo "== table writes against claims, 50 ms batches"
  start_one_gateway
  for rate in 50 200 600; do
    cat >"$run/orders.yaml" <<YAML
name: orders
durationMs: 6000
warmupMs: 0
streams: [{pipeline: order, workspace: w, perSecond: $rate, deadlineMs: 3000, keyed: true}]
YAML
    before=$(curl -s -d '{}' "http://$platform/admin/stats" | sed 's/.*"writes":\([0-9]*\).*/\1/')
    "$home/bin/wingstall-load" run --scenario "$run/orders.yaml" --policy "one=127.0.0.1:$((base + 10))" --seed "$rate" >"$run/orders.out"
    after=$(curl -s -d '{}' "http://$platform/admin/stats" | sed 's/.*"writes":\([0-9]*\).*/\1/')
    echo "$rate claims/s: $(((after - before) / 10)) table writes/s (over the 4 s of warm-up and the 6 s counted); $(awk '$1 == "one" {print "attained " $2}' "$run/orders.out")"
  done
  stop_all; members=()
}

measure_peers() {
  echo "== control against peers in one failure domain: bytes of heartbeats both ways and processor time of the control loop"
  for count in 2 4 8 16 24; do
    start_domain "$count"
    operator=127.0.0.1:$((base + 721))
    wait_for "all peers heard" sh -c "[ \$(curl -s http://$operator/metrics | awk '\$1 == \"wingstall_peers_heard_in_domain\" {print int(\$2)}') = $count ]"
    pause 15     # lets start-up pass before the measurement
    b0=$(metric $operator wingstall_peer_sent_bytes); r0=$(metric $operator wingstall_peer_received_bytes); c0=$(metric $operator wingstall_control_cpu_seconds)
    pause 20
    b1=$(metric $operator wingstall_peer_sent_bytes); r1=$(metric $operator wingstall_peer_received_bytes); c1=$(metric $operator wingstall_control_cpu_seconds)
    awk -v n="$count" -v b0="$b0" -v b1="$b1" -v r0="$r0" -v r1="$r1" -v c0="$c0" -v c1="$c1" \
      'BEGIN {printf "%d boxes: sent %.0f B/s, received %.0f B/s, control loop %.2f%% of a core\n", n, (b1-b0)/20, (r1-r0)/20, (c1-c0)/20*100}'
    echo "  resident memory of one gateway with -Xmx32m and C1 only: $(resident_kb "${pids[1]}") KB"
    stop_all; members=()
  done
}

measure_lists() {
  echo "== changes of a list of 2,800 endpoints: bytes of bodies from the platform, by box and change"
  for count in 2 4 8 16; do
    start_domain "$count"
    members_json 2800 | curl -s -o "$run/members.out" -d @- "http://$platform/admin/members"
    wait_for "every box knows the endpoints" all_know "$count" 2800
    pause 20
    sum_platform_bytes "$count"; bytes0=$sum
    for change in 1 2 3 4 5; do
      members_json 1 "$change" | curl -s -o "$run/members.out" -d @- "http://$platform/admin/members"
      pause 4
    done
    sum_platform_bytes "$count"
    awk -v n="$count" -v b="$((sum - bytes0))" 'BEGIN {printf "%d boxes: %.0f bytes by box and change\n", n, b/n/5}'
    stop_all; members=()
  done
}

measure_state() {
  echo "== state against sizes"
  WINGSTALL_JAVA_OPTS="-Xmx1g -XX:+UseSerialGC" "$home/bin/wingstall-load" slopes
}

parts=${*:-gateway tokens claims peers lists state}
for part in $parts; do
  case $part in
    gateway | tokens | claims | peers | lists | state) "measure_$part" ;;
    *) fail "unknown part '$part'; valid are gateway, tokens, claims, peers, lists, state" ;;
  esac
done
