#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
java -Xmx1g -cp target/review-2/7 LargeEntries review/7/record.txt
