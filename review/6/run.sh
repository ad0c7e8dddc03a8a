#!/bin/sh
# Exit status: 1 if a task ran twice at the same time, 0 if none did, 2 if the
# case could not run. TROUBLE=0 leaves out the freeze and the reset.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/case-6 review/6/record.txt
