#!/usr/bin/env bash
# Checks format and vet, then runs all tests with the race detector. A fault
# listed in KNOWN-RED.txt is printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
modules="schema platform lentilward lentilctl lentilstand lentilload lentilsoak"

echo "== gofumpt"
unformatted=$(cd tools && GOWORK=off go tool gofumpt -l $(for m in $modules; do echo "../$m"; done) | grep -v '\.pb\.go$' || true)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
echo "== vet and staticcheck"
staticcheck=$(cd tools && GOWORK=off go tool -n staticcheck)
for m in $modules; do
	(cd "$m" && go vet ./... && "$staticcheck" ./...)
done
echo "== build"
mkdir -p bin
for p in lentilward lentilctl lentilstand lentilload lentilsoak; do
	go build -o "bin/$p" "./$p"
done
echo "== build as deployed"
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
echo "== names of the platform's wire"
scripts/wire-names.sh
echo "== capacity sheet is current"
bin/lentilload capacity docs/slopes.toml --document docs/CAPACITY.md --check
if [ -s KNOWN-RED.txt ]; then
	echo "== known red, passed over"
	cat KNOWN-RED.txt
fi
echo "== test"
# Go's race detector itself crashes now and then where timers of a bubble come
# due in a select: see KNOWN-RED.txt. Tests that keep many instances in a bubble
# must pass without it, and with it nothing but the crash is passed over.
main=lentilward.org/lentilward
bubbles="$main/member $main/fleet"
model='^(TestFleetKeepsLimitsAndConvergesUnderFaults|TestIsolatedInstanceDoesNotSpendTheFleetsRetryBudget|TestNewInstanceFetchesSuspectRequestsFromPeers|TestPoisonRequestsSurviveFleetRestart)$'

race_or_crash() { # arguments of go test
	local log
	log=$(mktemp)
	if go test -race -count=1 "$@" >"$log" 2>&1; then
		cat "$log"
	elif grep -qE '^--- FAIL|DATA RACE|^panic:' "$log" || ! grep -qE 'ThreadSanitizer: CHECK failed|^SIGSEGV' "$log"; then
		cat "$log"
		rm -f "$log"
		return 1
	else
		echo "known red: the race detector crashed on go test -race $*"
	fi
	rm -f "$log"
}

# shellcheck disable=SC2046
go test -race -count=1 $(for m in $modules; do go list "./$m/..."; done | grep -vxF -e "$main" $(printf -- '-e %s ' $bubbles))
go test -race -count=1 -skip "$model" "$main"
# shellcheck disable=SC2086
go test -count=1 "$main" $bubbles
race_or_crash -run "$model" "$main"
for package in $bubbles; do
	race_or_crash "$package"
done
