#!/bin/sh
# Exit code 1: a server that had left got a booking too late; 0: none did; 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
cd "$top" && exec java -Xmx256m -cp target/review-2 UnreportedLeave "$top" "$here/record.txt"
