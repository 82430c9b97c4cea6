#!/usr/bin/env bash
# Plays seeds of faults on real gateway processes and checks what must hold; see docs/SOAK.md.
set -eu
. "$(dirname "$0")/lib.sh"
need_tools
build
cd "$home"
exec java -Xmx512m -cp "$home/it/target/lib/*" org.wingstall.soak.SoakMain "$@"
