#!/bin/sh
# Exit code 1: a booking that has run was answered as not run; 0: none was; 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
cd "$top" && exec java -Xmx256m -cp target/review-2 RefusedBooking "$top" "$here/record.txt"
