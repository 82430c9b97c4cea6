# Functions to start a fleet of gateways and stand-ins on this machine; sourced by the other scripts.
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
pids=()
members=()

fail() { echo "error: $*" >&2; exit 1; }

# Installs a JDK, Maven and curl where they are missing; needs Debian's package manager for that.
need_tools() {
  local missing=()
  command -v javac >/dev/null || missing+=(openjdk-17-jdk-headless)
  command -v mvn >/dev/null || missing+=(maven)
  command -v curl >/dev/null || missing+=(curl)
  for package in "$@"; do command -v "${package%%:*}" >/dev/null || missing+=("${package##*:}"); done
  if [ ${#missing[@]} -gt 0 ]; then
    echo "installing ${missing[*]}"
    apt-get update -qq && apt-get install -y -qq "${missing[@]}" >/dev/null || fail "can't install ${missing[*]}"
  fi
}

# Builds the programs into it/target/lib unless they are there.
build() {
  if [ ! -d "$home/it/target/lib" ] || [ "${WINGSTALL_REBUILD:-}" = 1 ]; then
    echo "building"
    (cd "$home" && mvn -B -q -DskipTests package) || fail "the build failed"
  fi
}

run_dir() { run=$(mktemp -d "${TMPDIR:-/tmp}/wingstall.XXXXXX"); }

# Starts a program in the background and waits for its "listening" line or its readiness address.
start() { # name, program and arguments
  local name=$1; shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids+=($!)
}

wait_for() { # what, command
  local what=$1; shift
  for _ in $(seq 1 300); do
    "$@" >/dev/null 2>&1 && return 0
    read -r -t 0.1 <> <(:) || true
  done
  fail "$what did not happen within 30 s; logs are in $run"
}

stop_all() {
  [ ${#pids[@]} -gt 0 ] && kill "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  pids=()
}

start_platform() { # address
  platform=$1
  start platform env WINGSTALL_JAVA_OPTS="-Xmx256m -XX:+UseSerialGC" "$home/bin/wingstall-standin" platform --listen "$platform"
  wait_for "the platform's start" grep -q listening "$run/platform.out"
}

# Starts endpoints of one service and registers them with the platform.
start_endpoints() { # name, kind, service, failure domain, box class, count, first port, further options
  local name=$1 kind=$2 service=$3 domain=$4 class=$5 count=$6 port=$7; shift 7
  local addresses=()
  for ((i = 0; i < count; i++)); do addresses+=("127.0.0.1:$((port + i))"); done
  start "$name" "$home/bin/wingstall-standin" endpoint --kind "$kind" --service "$service" --listen "${addresses[@]}" "$@"
  for ((i = 0; i < count; i++)); do
    members+=("{\"memberId\":\"$name-$i\",\"kind\":\"endpoint\",\"failureDomain\":\"$domain\",\"address\":\"${addresses[i]}\",\"service\":\"$service\",\"boxClass\":\"$class\",\"state\":\"live\",\"incarnation\":1}")
  done
}

register_members() {
  for member in "${members[@]}"; do
    curl -sf -o /dev/null -d "$member" "http://$platform/admin/member" || fail "can't register $member"
  done
}

# Writes a gateway's settings and starts it; the ports are three from the first one on.
start_gateway() { # box, failure domain, first port, further settings as YAML
  local box=$1 domain=$2 port=$3 more=${4:-}
  cat >"$run/$box.yaml" <<YAML
boxId: $box
failureDomain: $domain
callerAddress: 127.0.0.1:$port
operatorAddress: 127.0.0.1:$((port + 1))
peerAddress: 127.0.0.1:$((port + 2))
platformAddress: $platform
$more
YAML
  start "$box" "$home/bin/wingstall-gateway" --settings "$run/$box.yaml"
  members+=("{\"memberId\":\"$box\",\"kind\":\"gateway\",\"failureDomain\":\"$domain\",\"address\":\"127.0.0.1:$((port + 2))\",\"state\":\"live\",\"incarnation\":1}")
}

wait_ready() { # operator address
  wait_for "readiness of $1" curl -sf "http://$1/readyz"
}

# Prints the options of the deployed command of a gateway, as they are at the first start of a fleet.
deployed_options() {
  sed -n -e 's/{{#bootstrap}}\([^{]*\){{\/bootstrap}}{{^bootstrap}}[^{]*{{\/bootstrap}}/\1/' \
    -e 's/^run = "java \(.*\) -jar .*/\1/p' "$home/deploy/system.toml"
}
