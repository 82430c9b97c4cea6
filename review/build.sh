#!/bin/sh
# Builds the stand-ins that the cases start, into target/review; needs the JDK only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
javac -d target/review review/standins/*.java
