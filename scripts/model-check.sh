#!/usr/bin/env bash
# Searches the specifications whole with spin. --broken: with one guard taken away at a time, a violation must be found.
# --large: three attempts with two writes each under way at once; about six minutes and 3 GB, so no part of the tests.
set -u
. "$(dirname "$0")/lib.sh"
need_tools spin:spin gcc:gcc
mode=${1:-}
# Some guards matter only when a third attempt comes.
declare -A three_attempts=([BROKEN_ABANDON_ANYBODY]="-DATTEMPTS=3 -DTRIES=2 -DWRITES=1 -DABANDONS=1")
work=$(mktemp -d "${TMPDIR:-/tmp}/wingstall-model.XXXXXX")
trap 'rm -rf "$work"' EXIT
bad=0

# Prints the verifier's summary of one model with some macros set.
verify() { # model, macros
  local model=$1; shift
  local dir="$work/$model$*"; dir=${dir// /_}; mkdir -p "$dir"
  (cd "$dir" \
    && spin -a "$@" "$home/spec/promela/$model.pml" >spin.out 2>&1 \
    && gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=4000 -o pan pan.c >gcc.out 2>&1 \
    && timeout 600 ./pan -m200000 -w24 >pan.out 2>&1)
  cat "$dir/pan.out" 2>/dev/null || cat "$dir/spin.out" "$dir/gcc.out"
}

check() { # model, macros
  local out; out=$(verify "$@")
  local states errors
  states=$(sed -n 's/^ *\([0-9][0-9.e+]*\) states, stored.*/\1/p' <<<"$out")
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$out")
  if [ "$errors" = 0 ] && ! grep -q "Search not completed" <<<"$out" && ! grep -q "max search depth" <<<"$out"; then
    echo "$*: $states states, errors: 0"
  else
    echo "$*: FAILED (errors: ${errors:-none reported})"; tail -15 <<<"$out"; bad=$((bad + 1))
  fi
}

# Checks that a model comes to rest as its formula says, with weak fairness, and prints the verifier's summary.
verify_liveness() { # model, macros
  local model=$1; shift
  local dir="$work/live-$model$*"; dir=${dir// /_}; mkdir -p "$dir"
  (cd "$dir" \
    && spin -a "$@" "$home/spec/promela/$model.pml" >spin.out 2>&1 \
    && gcc -O2 -DNFAIR=4 -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=4000 -o pan pan.c >gcc.out 2>&1 \
    && timeout 600 ./pan -a -f -m1000000 -w24 >pan.out 2>&1)
  cat "$dir/pan.out" 2>/dev/null || cat "$dir/spin.out" "$dir/gcc.out"
}

check_liveness() { # model, macros
  local out; out=$(verify_liveness "$@")
  if grep -q "errors: 0" <<<"$out" && ! grep -q "Search not completed" <<<"$out" && ! grep -q "max search depth" <<<"$out"; then
    echo "$* comes to rest: $(sed -n 's/^ *\([0-9][0-9.e+]*\) states, stored.*/\1/p' <<<"$out") states, errors: 0"
  else
    echo "$* comes to rest: FAILED"; tail -15 <<<"$out"; bad=$((bad + 1))
  fi
}

check_broken_liveness() { # model, macros
  if grep -q "acceptance cycle" <<<"$(verify_liveness "$@")"; then
    echo "$* comes to rest: violation found"
  else
    echo "$* comes to rest: NO violation found"; bad=$((bad + 1))
  fi
}

check_broken() { # model, macro
  local out; out=$(verify "$1" "-D$2" ${three_attempts[$2]:-})
  if grep -q "assertion violated" <<<"$out"; then
    echo "$1 with $2: violation found"
  else
    echo "$1 with $2: NO violation found"; tail -15 <<<"$out"; bad=$((bad + 1))
  fi
}

if [ "$mode" = --broken ]; then
  for model in claims config permits; do
    for macro in $(grep -ohE 'BROKEN_[A-Z_]+' "$home/spec/promela/$model.pml" | grep -v '^BROKEN_$' | sort -u); do
      check_broken "$model" "$macro"
    done
  done
  check_broken lease BROKEN_NO_TOKEN_CHECK
  check_broken lease BROKEN_SAME_TOKEN
  check_broken_liveness lease -DCHECKS=0 -DBROKEN_ORDER_ONCE
elif [ "$mode" = --large ]; then
  check claims -DATTEMPTS=3 -DTRIES=2 -DWRITES=2 -DABANDONS=1
else
  check claims
  check claims -DATTEMPTS=3 -DTRIES=2 -DWRITES=1 -DABANDONS=1
  check config
  check permits
  check lease -DCHECKS=1
  check_liveness lease -DCHECKS=1
  check_liveness lease -DCHECKS=0
fi
exit "$((bad > 0))"
