#!/usr/bin/env bash
# Runs one experiment twice on local processes, first with the plain fan-out
# policy as the baseline and then with the guarded one, and prints the result as
# one JSON object on the last line.
#
# usage: scripts/experiment.sh NAME SITE SEED [FILE]
set -euo pipefail
cd "$(dirname "$0")/.."
NAME=$1
SITE=$2
SEED=$3
FILE=${4:-experiments/$NAME.toml}
mkdir -p out

for POLICY in plain guarded; do
	RUN=$(mktemp -d)
	. scripts/cluster.sh
	trap stop_cluster EXIT
	start_cluster
	create_services >"$RUN/create.log" || {
		tail -n 5 "$RUN"/*.log >&2
		exit 1
	}
	wait_until_ready
	# shellcheck disable=SC2046
	bin/lentilload run --site "sites/$SITE.toml" --schedule "$FILE" --seed "$SEED" --folder "$RUN" \
		--out "out/$NAME-$SITE-$POLICY.json" $([ "$POLICY" = plain ] && echo --plain) \
		$(for i in $INSTANCES; do echo "--callers=127.0.0.1:1800$i --operators=127.0.0.1:1810$i --monitors=127.0.0.1:1830$i"; done) \
		2> >(sed "s/^/$POLICY: /" >&2)
	stop_cluster
	[ -n "${KEEP_LOGS:-}" ] && cp "$RUN"/*.log out/
	rm -rf "$RUN"
done
bin/lentilload join "out/$NAME-$SITE-guarded.json" "out/$NAME-$SITE-plain.json"
