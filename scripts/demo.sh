#!/usr/bin/env bash
# Starts a site with 4 instances, creates its services and searches every
# shard, then ends all that it started.
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
echo "== run a non-idempotent request twice; it runs once"
service=$(bin/lentilctl service list | sed -n 2p | cut -d' ' -f1)
bin/lentilctl execute --caller demo --request-id order-1 "$service" "close account 4711"
sleep 0.2
bin/lentilctl execute --caller demo --request-id order-1 "$service" "close account 4711"
