#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$top/target/review-2"
javac -encoding UTF-8 --release 17 -d "$top/target/review-2" "$top"/review/standin-2/*.java
