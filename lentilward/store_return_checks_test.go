package main

import (
	"fmt"
	"net/http"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/platform"
)

// injectFault disturbs an instance, all connections or the store.
func (m *returnModel) injectFault() {
	i := m.instances[m.random.IntN(len(m.instances))]
	host, length := instanceHost(i.number), m.randomPeriod(500*time.Millisecond, 5500*time.Millisecond)
	kind := m.random.IntN(8)
	m.note("fault %d at instance %d for %v", kind, i.number, length)
	switch kind {
	case 0:
		m.network.silenceOpenConnections()
		m.disturbStore(0)
	case 1, 2:
		m.network.isolate(host)
		i.disturbedUntil = time.Now().Add(length)
		time.AfterFunc(length, func() { m.network.rejoin(host) })
	case 3, 4:
		// An instance that the store refuses must hear of changes from its peers.
		if i.number > 1 {
			m.store.RefuseCaller(host, length)
			i.refusedUntil = time.Now().Add(length)
		}
	case 5:
		if i.Gateway != nil {
			m.killFuncs[i.number]()
			i.Gateway = nil
		}
	case 6:
		m.store.SlowDown(118*time.Millisecond, length)
		m.disturbStore(length)
	case 7:
		m.store.LoseReplies(0.3, length, false)
		m.disturbStore(length)
	}
}

// check checks each instance that runs.
func (m *returnModel) check() {
	allCalm := true
	for _, i := range m.instances {
		allCalm = allCalm && i.Gateway != nil && time.Since(i.disturbedUntil) >= recoveryPeriod
	}
	for _, i := range m.instances {
		if i.Gateway == nil {
			continue
		}
		m.checkNoReversal(i)
		isCalm := time.Since(i.disturbedUntil) >= recoveryPeriod && (allCalm || time.Since(i.refusedUntil) >= recoveryPeriod)
		if isCalm && time.Since(m.disturbedUntil) >= recoveryPeriod {
			m.checkBounds(i)
		}
	}
}

// usedServers returns the servers that an instance would call.
func usedServers(i *returnInstance) map[string]bool {
	used := make(map[string]bool)
	if snapshot := i.directory.Current.Load(); snapshot != nil {
		for _, s := range snapshot.Services["s1"].Servers() {
			if !s.IsOutOfService() {
				used[s.ID] = true
			}
		}
	}
	return used
}

// checkNoReversal checks that an instance does not go back to what it has dropped.
func (m *returnModel) checkNoReversal(i *returnInstance) {
	snapshot := i.directory.Current.Load()
	if snapshot == nil {
		return
	}
	if version := int64(snapshot.Configuration.Version); version < i.version {
		m.fail(i, "version %d after %d", version, i.version)
	} else {
		i.version = version
	}
	used := usedServers(i)
	if len(used) == 0 && i.serves {
		m.fail(i, "no server is in use")
	}
	i.serves = i.serves || len(used) > 0
	usesZone := false
	for id, s := range m.servers {
		usesZone = usesZone || used[id] && s.zone == withdrawnZone
		switch {
		case s.announcedAt.IsZero():
		case used[id] && i.dropped[id]:
			m.fail(i, "%s is used again", id)
		case used[id]:
			i.used[id] = true
		case i.used[id]:
			i.dropped[id] = true
		}
	}
	switch {
	case !m.isWithdrawn():
	case usesZone && i.droppedZone:
		m.fail(i, "a withdrawn data centre is used again")
	case usesZone:
		i.usedZone = true
	case i.usedZone:
		i.droppedZone = true
	}
}

// checkBounds checks that what was acknowledged long enough ago is in force.
func (m *returnModel) checkBounds(i *returnInstance) {
	due := 0
	for version, at := range m.acknowledged {
		if time.Since(at) >= maxApplyDelay {
			due = max(due, version)
		}
	}
	if got := m.routeStatus(i, due); due > 0 && got != http.StatusOK {
		m.fail(i, "status %d for the route of version %d", got, due)
	}
	if snapshot := i.directory.Current.Load(); due > 0 && (snapshot == nil || int(snapshot.Configuration.Version) < due) {
		m.fail(i, "version %d is not in force", due)
	}
	undisturbed := min(time.Since(i.disturbedUntil), time.Since(m.disturbedUntil))
	zoneIsDue := m.isWithdrawn() && m.isOlder(platform.WithdrawnPrefix+withdrawnZone, withdrawalBound)
	for id := range usedServers(i) {
		s := m.servers[id]
		if s == nil {
			continue
		}
		isDue := s.draining || undisturbed >= recoveryPeriod
		if isDue && !s.announcedAt.IsZero() && m.isOlder(standin.ServerKey(id), drainPeriod) {
			m.fail(i, "%s is used", id)
		}
		if s.zone == withdrawnZone && zoneIsDue {
			m.fail(i, "%s of a withdrawn data centre is used", id)
		}
	}
}

// routeStatus returns the status of a request for the route of a version. A call over an idle
// connection that has gone silent lasts until the deadline of its request; there may be one to
// each server.
func (m *returnModel) routeStatus(i *returnInstance, version int) int {
	for range m.servers {
		begunAt := time.Now()
		status := statusOf(i.Gateway, fmt.Sprintf("/v%d/", version))
		if status != http.StatusServiceUnavailable || time.Since(begunAt) < routeTimeout-defaultAnswerMargin {
			return status
		}
	}
	return http.StatusServiceUnavailable
}

// isOlder reports whether the store acknowledged a record that long ago and has it since.
func (m *returnModel) isOlder(key string, period time.Duration) bool {
	at := m.records[key].acknowledgedAt
	return !at.IsZero() && time.Since(at) >= period
}

// withdrawalBound is how long after its acknowledgement a withdrawal may not be in force.
const withdrawalBound = 5 * time.Second

// awaitUnchanged waits until the store has not changed for maxApplyDelay: leases of instances
// that were killed expire at any time.
func (m *returnModel) awaitUnchanged() {
	var revision uint64
	begunAt := time.Now()
	for unchangedSince := begunAt; time.Since(unchangedSince) < maxApplyDelay; time.Sleep(returnModelStep) {
		page, err := m.client.Range(m.ctx, "", "")
		if err != nil {
			m.t.Fatal(err)
		}
		if page.Revision != revision {
			revision, unchangedSince = page.Revision, time.Now()
		}
		if time.Since(begunAt) > 2*agreementPeriod {
			m.t.Fatalf("the store changes still %v after the last fault", time.Since(begunAt))
		}
		m.check()
	}
}

// checkAgreement checks that all instances have what the store has.
func (m *returnModel) checkAgreement() {
	stored := make(map[string]uint64)
	for after := ""; ; {
		page, err := m.client.Range(m.ctx, "", after)
		if err != nil {
			m.t.Fatal(err)
		}
		for _, item := range page.Items {
			stored[item.Key], after = item.Revision, item.Key
		}
		if !page.More {
			break
		}
	}
	for _, i := range m.instances {
		if got := i.directory.Current.Load().Configuration.Version; int(got) != m.version {
			m.fail(i, "version %d at the end, want %d", got, m.version)
		}
		used := usedServers(i)
		for id, s := range m.servers {
			if want := s.announcedAt.IsZero() && (s.zone != withdrawnZone || !m.isWithdrawn()); used[id] != want {
				m.fail(i, "%s is used at the end: %v, want %v", id, used[id], want)
			}
		}
		m.checkRecords(i, i.mirror.List(""), stored)
	}
}

// checkRecords compares the records of an instance with those of the store.
func (m *returnModel) checkRecords(i *returnInstance, records []mirror.Record, stored map[string]uint64) {
	if i.mirror.Version().Era != m.era || len(records) != len(stored) {
		m.fail(i, "%d records at the end, the store has %d in era %d", len(records), len(stored), m.era)
	}
	for _, r := range records {
		if stored[r.Key] != r.Revision {
			m.fail(i, "%s has revision %d at the end, in the store %d", r.Key, r.Revision, stored[r.Key])
		}
	}
}
