#!/bin/sh
# Builds the stand-ins of the cases; the build of the deploy file goes first.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standin/*.java
