#!/usr/bin/env bash
# Fails if a name of the platform's wire protocol occurs in Go source outside
# platform/ and the stand-in for the platform's store. The names are extracted
# from string literals in platform/: headers, keys, paths, and JSON fields with a
# capital letter inside.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(sed -n '/^\/\//d; s/^[[:space:]]*\/\/.*//; p' platform/*.go | grep -v _test.go |
	grep -oE '"[A-Z][a-z]+-[A-Z][A-Za-z-]+"|"(op|servers|/v1)/[a-z/-]*|json:"[a-z]+[A-Z][A-Za-z]*' |
	sed -E 's/^json://; s/"$//' | sort -u |
	grep -vxE '"(Keep-Alive|Proxy-Connection|Proxy-Authenticate|Proxy-Authorization|Transfer-Encoding|Content-(Type|Length)|Retry-After)')
[ -n "$names" ] || { echo "no wire names found in platform/*.go" >&2; exit 1; }
if git grep -nF -f <(echo "$names") -- '*.go' ':!platform/' ':!lentilstand/platform/' ':!*_test.go' ':!*.pb.go'; then
	echo "wire names of the platform (listed above) used outside platform/" >&2
	exit 1
fi
