#!/usr/bin/env bash
# Scores the sites of the current milestone on the users' bench, one after the other.
#
# usage: scripts/regression.sh BENCH SITE-FILE...
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || { echo "usage: scripts/regression.sh BENCH SITE-FILE..." >&2; exit 2; }
bench=$1
shift
failed=0
for site in "$@"; do
	"$bench" score "$site" --jobs 3 --why "regression run" | tee /dev/stderr | grep -q "GATE passed" || failed=1
done
exit $failed
