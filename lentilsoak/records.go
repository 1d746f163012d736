package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

const (
	// versionStep is the difference between two versions of the configuration.
	versionStep = 3
	// versionRouteCount is the number of versions whose routes a configuration has.
	versionRouteCount = 60
	// heartbeatInterval is the time between two heartbeats of a server.
	heartbeatInterval = 2 * time.Second
	// maxWriteDelay bounds the time in which the store must take a write. Outages and returns
	// overlap.
	maxWriteDelay = 30 * time.Second
	// otherWrites is the number of records in one write of others.
	otherWrites = 30
)

// operator has the configuration that the operator has written to the store.
type operator struct {
	// writing is held during a write, so that what was acknowledged last is what is written
	// again.
	writing sync.Mutex

	mu sync.Mutex
	// newest is the version written last, acknowledged or not.
	newest int
	// acknowledged and record are those that the store acknowledged last.
	acknowledged int
	record       []byte
	// acks are the acknowledgements since the store last lost some.
	acks []ack
	// lossBegan is when the loss began after which the configuration was last written again.
	lossBegan time.Time
}

// ack is the acknowledgement of a version by the store.
type ack struct {
	version int
	at      time.Time
}

func (o *operator) begin() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest += versionStep
	return o.newest
}

func (o *operator) acknowledge(version int, record []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged, o.record = version, record
	o.acks = append(o.acks, ack{version, time.Now()})
}

// requiredAt returns the newest version acknowledged longer than maxDrainDelay before a
// time, 0 if there is none, and the newest one written.
func (o *operator) requiredAt(t time.Time) (required, newest int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.acks {
		if t.Sub(a.at) > maxDrainDelay {
			required = a.version
		}
	}
	return required, o.newest
}

// isSettled reports whether the store has had the configuration for revokeWithin since it
// last lost it. The caller holds mu.
func (o *operator) isSettled() bool {
	return len(o.acks) > 0 && time.Since(o.acks[0].at) > revokeWithin
}

// beginLoss records that the store begins to lose what it has acknowledged.
func (o *operator) beginLoss() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isSettled() {
		o.lossBegan = time.Now()
	}
}

// mayHaveLoadedOlder reports whether a process that was started at a time may have loaded an older
// configuration than the last one acknowledged, and nothing newer since.
func (o *operator) mayHaveLoadedOlder(startedAt time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.isSettled() && startedAt.After(o.lossBegan.Add(-stableWindow))
}

// versionPrefix is the prefix of the route that a version adds, and versionService its
// service.
func versionPrefix(version int) string  { return fmt.Sprintf("/v%d/", version) }
func versionService(version int) string { return fmt.Sprint("s", 1+version/versionStep%8) }

// publishConfiguration writes the next version of the configuration to the store.
func (s *soak) publishConfiguration() {
	s.operator.writing.Lock()
	defer s.operator.writing.Unlock()
	version := s.operator.begin()
	c := standin.Configuration{
		Version: version, Host: "soak", SearchPrefix: "/all/", SinglePrefix: "/one/", SingleService: "s1",
		ShardServices: shardSets[version%len(shardSets)], MaxRecords: maxRecords, MinCoverage: minCoverage,
		Timeout: requestTimeout, TargetLatency: targetLatency, PublicServices: make(map[string]string),
	}
	for v := version; v > max(0, version-versionRouteCount*versionStep); v -= versionStep {
		c.PublicServices[versionPrefix(v)] = versionService(v)
	}
	key := s.keyNumber.Add(1)
	if s.withKeys {
		c.Keys = []string{fmt.Sprint("key-", key)}
	}
	for n := range 8 {
		c.Services = append(c.Services, fmt.Sprint("s", n+1))
	}
	record := c.Record()
	s.put(standin.ConfigurationKey, record)
	s.operator.acknowledge(version, record)
	s.withdrawnAt.Store(key-1, time.Now())
}

// registerServer writes the record of a server.
func (s *soak) registerServer(target *server, draining bool) {
	target.writing.Lock()
	defer target.writing.Unlock()
	if !draining {
		target.drain.lift()
	}
	target.draining = draining
	s.writeServer(target)
}

// writeServer writes the record of a server as its next heartbeat. The caller holds writing.
func (s *soak) writeServer(target *server) {
	target.sequence++
	r := standin.Server{
		Service: target.service, Address: target.proxy.address, DataCentre: target.dataCentre.name,
		Draining: target.draining, Sequence: target.sequence,
	}
	s.put(standin.ServerKey(target.id), r.Record())
	// The rules ("DRAIN") count the acknowledgement of an undisturbed store only.
	if target.draining && s.storeCalm.heldSince(time.Now().Add(-stableWindow)) {
		target.drain.acknowledge()
	}
}

// sendHeartbeats writes the record of a server again and again until the end of the run.
func (s *soak) sendHeartbeats(target *server, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(heartbeatInterval/2 + rand.N(heartbeatInterval))
		target.writing.Lock()
		s.writeServer(target)
		target.writing.Unlock()
	}
}

// dataCentre is a data centre and its withdrawal.
type dataCentre struct {
	name       string
	writing    sync.Mutex
	withdrawn  bool
	withdrawal bar
}

// setWithdrawn withdraws a data centre or lifts its withdrawal.
func (s *soak) setWithdrawn(d *dataCentre, withdrawn bool) {
	d.writing.Lock()
	defer d.writing.Unlock()
	d.withdrawn = withdrawn
	s.writeWithdrawal(d)
}

// writeWithdrawal writes or deletes the withdrawal of a data centre. The caller holds writing.
func (s *soak) writeWithdrawal(d *dataCentre) {
	if !d.withdrawn {
		d.withdrawal.lift()
		s.put(platform.WithdrawnPrefix+d.name, nil)
		return
	}
	s.put(platform.WithdrawnPrefix+d.name, []byte("{}"))
	d.withdrawal.acknowledge()
}

// noteLoss records that the store may have lost what it acknowledged, and lets the operator
// write its records again over some time. Those of servers follow with their heartbeats.
func (s *soak) noteLoss(over time.Duration) {
	s.operator.mu.Lock()
	s.operator.acks = nil
	s.operator.mu.Unlock()
	time.AfterFunc(rand.N(over), func() {
		s.operator.writing.Lock()
		defer s.operator.writing.Unlock()
		s.put(standin.ConfigurationKey, s.operator.record)
		s.operator.acknowledge(s.operator.acknowledged, s.operator.record)
	})
	for _, target := range s.servers {
		target.drain.lift()
	}
	for _, d := range s.dataCentres {
		d.withdrawal.lift()
		time.AfterFunc(rand.N(over), func() {
			d.writing.Lock()
			defer d.writing.Unlock()
			s.writeWithdrawal(d)
		})
	}
}

// put writes a key, or deletes it if the value is nil.
func (s *soak) put(key string, value []byte) {
	var writes []platform.Write
	deletes := []string{key}
	if value != nil {
		writes, deletes = []platform.Write{{Key: key, Value: value}}, nil
	}
	s.commit(writes, deletes)
}

// writeOther makes writes that concern no instance, so that a return of the store takes many
// revisions back.
func (s *soak) writeOther(count int) {
	for range count {
		writes := make([]platform.Write, otherWrites)
		for n := range writes {
			writes[n] = platform.Write{Key: fmt.Sprint("other/", n), Value: []byte("{}")}
		}
		s.commit(writes, nil)
	}
}

// commit makes writes and deletes, again and again for maxWriteDelay, as operators and backend
// servers do.
func (s *soak) commit(writes []platform.Write, deletes []string) {
	begunAt := time.Now()
	var err error
	for time.Since(begunAt) < maxWriteDelay {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		_, err = s.client.Commit(ctx, nil, writes, deletes)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	keys := slices.Clone(deletes)
	for _, w := range writes {
		keys = append(keys, w.Key)
	}
	s.ledger.addFinding("the store did not take %v for %v from %s on: %v", keys, maxWriteDelay, begunAt.Format(time.TimeOnly+".000"), err)
}
