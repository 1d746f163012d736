package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

// want changes what the store is to have and tries to write it.
func (m *returnModel) want(key string, value func() []byte) {
	m.records[key] = &returnRecord{value: value, nextTry: time.Now()}
	m.writeDue()
}

// writeDue tries to write the records that the store does not have and that are due.
func (m *returnModel) writeDue() {
	for _, key := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[key]
		if !r.acknowledgedAt.IsZero() || time.Now().Before(r.nextTry) {
			continue
		}
		var writes []platform.Write
		var deletes []string
		if value := r.value(); value != nil {
			writes = []platform.Write{{Key: key, Value: value}}
		} else {
			deletes = []string{key}
		}
		version := m.version
		if _, err := m.client.Commit(m.ctx, nil, writes, deletes); err != nil {
			r.nextTry = time.Now().Add(m.randomPeriod(100*time.Millisecond, 400*time.Millisecond))
			continue
		}
		r.acknowledgedAt = time.Now()
		m.note("%s was acknowledged, deletion: %v", key, deletes != nil)
		if key == platform.ConfigurationKey {
			m.acknowledged[version] = time.Now()
		}
	}
}

// publish adds a route and drops the oldest.
func (m *returnModel) publish() {
	m.version++
	var prefixes []string
	for v := max(1, m.version-maxModelRoutes+1); v <= m.version; v++ {
		prefixes = append(prefixes, fmt.Sprintf("/v%d/", v))
	}
	if m.acknowledged == nil {
		m.acknowledged = make(map[int]time.Time)
	}
	record := []byte(routesRecord(m.version, prefixes...))
	m.note("version %d", m.version)
	m.want(platform.ConfigurationKey, func() []byte { return record })
}

func (m *returnModel) startServer(zone string) {
	m.started++
	s := &returnServer{id: fmt.Sprintf("i-%s-%d", zone, m.started), zone: zone, startedAt: time.Now()}
	m.servers[s.id] = s
	m.want(standin.ServerKey(s.id), s.record)
}

// record returns the record of a server, whose heartbeats have gone on meanwhile.
func (s *returnServer) record() []byte {
	return standin.Server{
		Service: "s1", Address: "10.9.0.1:80", DataCentre: s.zone, Draining: s.draining, Sequence: 1 + int(time.Since(s.startedAt)/time.Second),
	}.Record()
}

// changeServer lets one server of the data centre z1 drain or leave, and starts another.
func (m *returnModel) changeServer() {
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[id]
		if s.zone != "z1" || m.random.IntN(2) == 0 {
			continue
		}
		key := standin.ServerKey(s.id)
		switch {
		case !s.draining && m.random.IntN(3) > 0:
			s.draining = true
			if s.announcedAt.IsZero() {
				s.announcedAt = time.Now()
			}
			m.note("%s drains", s.id)
			m.want(key, s.record)
		case m.records[key].value() != nil:
			if s.announcedAt.IsZero() {
				s.announcedAt = time.Now()
			}
			m.note("%s leaves", s.id)
			m.want(key, func() []byte { return nil })
		default:
			continue
		}
		m.startServer("z1")
		return
	}
}

// toggleWithdrawal withdraws the data centre z2 or lifts its withdrawal.
func (m *returnModel) toggleWithdrawal() {
	key := platform.WithdrawnPrefix + withdrawnZone
	if m.isWithdrawn() {
		m.note("withdrawal lifted")
		for _, i := range m.instances {
			i.usedZone, i.droppedZone = false, false
		}
		m.want(key, func() []byte { return nil })
		return
	}
	m.note("withdrawn")
	m.want(key, func() []byte { return []byte("{}") })
}

func (m *returnModel) isWithdrawn() bool {
	r := m.records[platform.WithdrawnPrefix+withdrawnZone]
	return r != nil && r.value() != nil
}
