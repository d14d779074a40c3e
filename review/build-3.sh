#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start; needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
for folder in review/11 review/12 review/13 review/14 review/15; do
  if ls "$folder"/*.java > /dev/null 2>&1; then
    mkdir -p "target/review-3/$(basename "$folder")"
    javac -d "target/review-3/$(basename "$folder")" review/yard/*.java "$folder"/*.java
  fi
done
