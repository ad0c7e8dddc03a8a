#!/bin/sh
# Exit status: 1 if the node hung, 0 if it did not, 2 if the case could not
# run. TROUBLE=0 leaves out the changes of the settings.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/case-7 review/7/record.txt
