#!/bin/sh
# Builds the stand-ins of the cases from 4 on; they use the JDK only.
cd "$(dirname "$0")/standins-2" || exit 2
rm -rf target
mkdir -p target && javac -Xlint:all -d target ./*.java
