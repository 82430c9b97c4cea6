#!/bin/sh
# Makes target/wingstall.jsa: the classes that a gateway loads to start and to serve requests of every kind as one box of
# a fleet, ready to be mapped, which halves its start. Without the archive a gateway starts as well, only later.
cd "$(dirname "$0")/.." || exit 1
folder=target/rehearsal
archive=target/wingstall.jsa
rm -rf "$folder" "$archive"
mkdir -p "$folder"
parts=standin/target/classes:net/target/classes:core/target/classes:schema/target/classes
options="-Xmx160m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Dio.netty.jfr.enabled=false"
# shellcheck disable=SC2086
java -Xmx96m -cp "$parts:target/lib/*" org.wingstall.standin.fleet.Rehearsal "$folder" \
  java $options -jar target/wingstall-relay.jar >"$folder/rehearsal.out" 2>&1 &
rehearsal=$!
waited=0
while [ ! -s "$folder/relay.yaml" ] && [ $waited -lt 150 ]; do
  sleep 0.1
  waited=$((waited + 1))
done
# shellcheck disable=SC2086
java $options -XX:ArchiveClassesAtExit="$archive" \
  -jar target/wingstall-relay.jar --settings "$folder/relay.yaml" >"$folder/gateway.out" 2>&1 &
gateway=$!
wait $rehearsal
kill -TERM $gateway
wait $gateway
[ -s "$archive" ] || echo "no archive of classes was made; see $folder" >&2
exit 0
