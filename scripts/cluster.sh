# Functions that start and stop the stand-ins and 4 instances as ordinary
# processes. The sourcing script sets RUN (a folder), SITE, SEED and POLICY.
#
# Each instance runs in a loop that restarts it until RUN/stop exists, as the
# platform restarts instances that end.

INSTANCES="1 2 3 4"

data_centre() { # instance number
	sed -n 's/^data-centres = \[\(.*\)\]/\1/p' "sites/$SITE.toml" | tr -d '" ' | cut -d, -f$((($1 - 1) % 3 + 1))
}

instance_settings() { # instance number
	cat <<-END
		name = "instance-$1"
		data-centre = "$(data_centre "$1")"
		peers = ["127.0.0.1:18201", "127.0.0.1:18202", "127.0.0.1:18203", "127.0.0.1:18204"]

		[listen]
		callers = "127.0.0.1:1800$1"
		operators = "127.0.0.1:1810$1"
		peers = "127.0.0.1:1820$1"
		monitor = "127.0.0.1:1830$1"

		[store]
		address = "127.0.0.1:19001"

		[log]
		level = "${LOG_LEVEL:-info}"

		[policy]
		fan-out = "${POLICY:-guarded}"
	END
}

run_and_restart_instance() { # instance number
	while [ ! -e "$RUN/stop" ]; do
		bin/lentilward run --settings "$RUN/instance-$1.toml" 2>>"$RUN/instance-$1.log" &
		echo $! >"$RUN/instance-$1.pid"
		wait $! || true
		sleep 0.5
	done
}

start_cluster() {
	mkdir -p "$RUN"
	rm -f "$RUN/stop"
	for i in $INSTANCES; do
		instance_settings "$i" >"$RUN/instance-$i.toml"
	done
	bin/lentilstand run "sites/$SITE.toml" --seed "${SEED:-1}" >/dev/null 2>"$RUN/stand.log" &
	echo $! >"$RUN/stand.pid"
	for i in $INSTANCES; do
		run_and_restart_instance "$i" >/dev/null 2>&1 &
		echo $! >>"$RUN/supervisors"
	done
	export LENTILWARD_CALLERS LENTILWARD_OPERATORS
	LENTILWARD_CALLERS=$(printf '127.0.0.1:1800%s\n' $INSTANCES)
	LENTILWARD_OPERATORS=$(printf '127.0.0.1:1810%s\n' $INSTANCES)
	wait_for_port 19000
	wait_for_port 19001
	for i in $INSTANCES; do
		wait_for_port 1810$i
	done
}

wait_for_port() { # port
	for _ in $(seq 100); do
		if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then
			return 0
		fi
		sleep 0.1
	done
	echo "no process listens on port $1 after 100 attempts; see the logs in $RUN" >&2
	return 1
}

create_services() {
	bin/lentilstand services "sites/$SITE.toml" >"$RUN/services.toml"
	bin/lentilctl service create "$RUN/services.toml" --change-id "site-$SITE" --author setup
}

wait_until_ready() {
	for i in $INSTANCES; do
		for _ in $(seq 150); do
			if grep -qs 'phase=serving' "$RUN/instance-$i.log"; then
				break
			fi
			sleep 0.1
		done
	done
}

# stop_cluster ends the processes that start_cluster started, by process id.
stop_cluster() {
	[ -d "$RUN" ] || return 0
	touch "$RUN/stop"
	for i in $INSTANCES; do
		end_process "$RUN/instance-$i.pid"
	done
	for pid in $(cat "$RUN/supervisors" 2>/dev/null); do
		wait "$pid" || true
	done
	end_process "$RUN/stand.pid"
	rm -f "$RUN"/*.pid "$RUN/supervisors"
}

end_process() { # file that holds a process id
	if [ -e "$1" ]; then
		kill "$(cat "$1")" 2>/dev/null || true
		wait "$(cat "$1")" 2>/dev/null || true
	fi
}
