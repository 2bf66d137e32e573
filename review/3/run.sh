#!/bin/sh
# Runs the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption
# out. Build before: the build line of deploy/system.toml, and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cowslipd ] && [ -x target/review-standin ] || exit 2
RECORD="$here/record.txt" exec target/review-standin unreadable
