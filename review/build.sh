#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/. The review's own program is
# built as if it were a package of the module lentilload, so that it needs no module file
# of its own and uses the versions of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
{
	echo '{"Replace": {'
	separator=
	for f in review/standin/*.go; do
		printf '%s"%s": "%s"\n' "$separator" "$PWD/lentilload/reviewstandin/${f##*/}" "$PWD/$f"
		separator=,
	done
	echo '}}'
} >"$overlay"
mkdir -p target
go build -overlay "$overlay" -o target/review-standin ./lentilload/reviewstandin
go build -o target/review-lentilstand ./lentilstand
go build -o target/review-lentilctl ./lentilctl
