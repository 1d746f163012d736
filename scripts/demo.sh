#!/usr/bin/env bash
# Starts the stand-ins of a site and 4 instances, creates the services,
# searches every shard and executes a non-idempotent request, then stops the
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
SITE=${SITE:-trondelag}
RUN=$(mktemp -d)
. scripts/cluster.sh
trap stop_cluster EXIT

start_cluster
echo "== create the services of $SITE"
create_services
wait_until_ready
echo "== status"
bin/lentilctl status
echo "== search every shard"
bin/lentilctl search --caller demo "meter 4711 district 7"
echo "== send a non-idempotent request twice with one request id; it runs once"
service=$(bin/lentilctl service list | sed -n 2p | cut -d' ' -f1)
bin/lentilctl execute --caller demo --request-id order-1 "$service" "close account 4711"
sleep 0.2
bin/lentilctl execute --caller demo --request-id order-1 "$service" "close account 4711"
