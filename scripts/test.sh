#!/usr/bin/env bash
# Checks formatting, vet, staticcheck, wire names and the capacity sheet, then
# runs all tests with the race detector. The known failures listed in
# KNOWN-RED.txt are printed and tolerated.
set -euo pipefail
cd "$(dirname "$0")/.."
modules="schema platform lentilward lentilctl lentilstand lentilload lentilsoak"

echo "== gofumpt"
unformatted=$(cd tools && GOWORK=off go tool gofumpt -l $(for m in $modules; do echo "../$m"; done) | grep -v '\.pb\.go$' || true)
if [ -n "$unformatted" ]; then
	echo "gofumpt would reformat: $unformatted" >&2
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
echo "== wire names stay inside platform/"
scripts/wire-names.sh
echo "== capacity sheet is current"
bin/lentilload capacity docs/slopes.toml --document docs/CAPACITY.md --check
if [ -s KNOWN-RED.txt ]; then
	echo "== known failures that are tolerated (KNOWN-RED.txt)"
	cat KNOWN-RED.txt
fi
echo "== test"
# Go's race detector itself crashes occasionally when timers of a
# testing/synctest bubble expire in a select: see KNOWN-RED.txt. Tests that run
# many instances in one bubble must pass without the detector; with it, a crash
# of the detector is the only failure that is tolerated.
main=lentilward.org/lentilward
bubble_packages="$main/member $main/fleet"
bubble_tests='^(TestFleetKeepsLimitsAndConvergesUnderFaults|TestIsolatedInstanceDoesNotSpendTheFleetsRetryBudget|TestNewInstanceFetchesSuspectRequestsFromPeers|TestPoisonRequestsSurviveFleetRestart)$'
network_tests='^(TestGatherersAreFewAndConnected|TestConnectionOfSilentGathererIsReplaced|TestOneSilentPeerLeadsToACheckOfAll|TestStopDoesNotCloseConnectionsWhoseRequestIsRead|TestStopAnswers.*|TestRestartedInstanceUsesNoServerThatHasLeft|TestAddedRouteIsServed.*|TestOddServerRecordsDoNotStopAnInstance|TestFetchFromHangingPeerDoesNotDelayOthers|TestUnknownRouteIsRefusedAsNotRunWhileUnconfirmed|TestUndisturbedInstancesServeAddedRoutes|TestServersThatLeave.*|TestManyServersThatLeaveAtOnceAreDroppedInTime|TestServersWhoseRecordsExpireInAnOutageAreKept|TestInstanceLearnsChangesWhenAllReadersAreLost|TestInstanceCatchesUpWithChangesTooLargeForOneReply|TestRevocation.*)$'
# Tests of whole instances while the store returns from a copy, for which the same holds.
return_tests='^(TestChangesAreInForceAfter.*|TestReturnsOfTheStoreUnderRandomFaults|TestListingThatSpansAReturnIsReadAnew|TestCallsToTheStoreStayBoundedAroundAReturn|TestKeyWithdrawnBeforeAReturnStaysRefused|TestInstanceThatStartsAfterAReturnRefusesWithdrawnKeys|TestServersAreDroppedInTimeWhereTheStoreFailsForOneInstance|TestServerThatLeftBeforeConnectionsWentSilentIsDroppedInTime|TestPeersAreNotAskedToConfirmWhereTheStoreAnswers|TestNoRequestReachesAServerThatDrainsOrHasLeft|Test.*AfterStoreReturned)$'
# Tests of whole instances and of models of fleets, for which the same holds.
fleet_tests='^(TestAllowanceHoldsWhile.*|TestServerGetsItsNamedLimitFromAllInstances|TestLimitIsUsedWhileAnInstanceIsLost|TestLimitThatFallsBindsAllInstances|TestLimitThatComesAndGoesIsKept|TestLimitBindsRequestsThatRunOnce|TestRetryAfterOfLimitedServerIsTrue|TestReplyWithoutValidStatusIsAFailure|TestBadVersionsAreRolledBack|TestCommonStartStaysUnderTheCap|TestControllerIsLostInEachStep|TestPopularDocumentIsServedAfterAllServersCrashed|TestPopularDocumentIsNotRefusedForOtherLosses|TestRequestThatCrashesServersIsRefused|TestDataCentresCutOffFromEachOtherHaveHolders|TestExplanationAgreesWithRequests|TestExplanationNamesHolders|TestFewRequests|TestFirstStartOpensFewConnections|TestGoodVersionIsCompletedThoughAllServersAreSlow|TestGoodVersionIsCompletedWithoutCut|TestInstancesThatAreCutOffStayWithinTheBound|TestNoHoldersWhereConnectionsSuffice|TestOrderIsReplaced|TestOwnershipMovesFromALostHolder|TestRestartedInstancesFollowTheRecord|TestSameVersionIsOrderedAgainAfterRollback|TestSearchesAreHandedToHolders|TestServersThatAppearBeforeTheirOrderGetNothing|TestSeveralOrdersAtOnceWhileServersChange|TestStoreIsAwayBetweenVerdictAndStatus|TestStoreIsSilentWhileMoving|TestStoreLosesAnswers|TestTenantsWithoutAllowanceCostNothing|TestTwoControllersStayWithinTheBound|TestVersionThatTurnsBadWhileMovingIsRolledBack|TestWholeInstancesCarryOutOrders)$'

# Entries of KNOWN-RED.txt in the form "go test PACKAGE -run TEST" are skipped.
known_red=$(sed -n 's/^go test [^ ]* -run \(Test[A-Za-z0-9]*\)$/\1/p' KNOWN-RED.txt | paste -sd'|')
known_red="^(${known_red:-none})\$"

test_or_detector_crash() { # arguments for go test
	local log
	log=$(mktemp)
	if go test -race -count=1 -skip "$known_red" "$@" >"$log" 2>&1; then
		cat "$log"
	elif grep -qE '^--- FAIL|DATA RACE|^panic:' "$log" || ! grep -qE 'ThreadSanitizer: CHECK failed|^SIGSEGV' "$log"; then
		cat "$log"
		rm -f "$log"
		return 1
	else
		echo "known failure: the race detector crashed in go test -race $*"
	fi
	rm -f "$log"
}

# shellcheck disable=SC2046
go test -race -count=1 -skip "$known_red" $(for m in $modules; do go list "./$m/..."; done | grep -vxF -e "$main" $(printf -- '-e %s ' $bubble_packages))
go test -race -count=1 -skip "$bubble_tests|$network_tests|$return_tests|$fleet_tests|$known_red" "$main"
# shellcheck disable=SC2086
go test -count=1 -skip "$known_red" "$main" $bubble_packages
test_or_detector_crash -run "$bubble_tests" "$main"
test_or_detector_crash -run "$network_tests" "$main"
test_or_detector_crash -run "$return_tests" "$main"
test_or_detector_crash -run "$fleet_tests" "$main"
for package in $bubble_packages; do
	test_or_detector_crash "$package"
done

echo "== soak"
soak_folder=$(mktemp -d)
trap 'rm -rf "$soak_folder"' EXIT
if ! bin/lentilsoak --seed 1 --for 1m --folder "$soak_folder"; then
	tail -n 40 "$soak_folder/faults.log" >&2
	exit 1
fi
