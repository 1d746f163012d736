#!/usr/bin/env bash
# Fails if a name of the platform's wire stands outside platform/ and the
# stand-in of its store. The names are read from platform/ itself: headers, keys
# and paths, and fields with a capital letter inside,
# as they stand in a text.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(sed -n '/^\/\//d; s/^[[:space:]]*\/\/.*//; p' platform/*.go | grep -v _test.go |
	grep -oE '"[A-Z][a-z]+-[A-Z][A-Za-z-]+"|"(op|servers|/v1)/[a-z/-]*|json:"[a-z]+[A-Z][A-Za-z]*' |
	sed -E 's/^json://; s/"$//' | sort -u |
	grep -vxE '"(Keep-Alive|Proxy-Connection|Proxy-Authenticate|Proxy-Authorization|Transfer-Encoding|Content-(Type|Length)|Retry-After)')
[ -n "$names" ] || { echo "no names found in platform/" >&2; exit 1; }
if git grep -nF -f <(echo "$names") -- '*.go' ':!platform/' ':!lentilstand/platform/' ':!*_test.go' ':!*.pb.go'; then
	echo "names of the platform's wire outside platform/" >&2
	exit 1
fi
