#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
java -Xmx512m -Xss16m -cp target/review-2/6 UnreadableEntry review/6/record.txt
