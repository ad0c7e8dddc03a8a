#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into build-review-3/.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/kit-3 -B build-review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-3 -j8 --target review-store review-runner
