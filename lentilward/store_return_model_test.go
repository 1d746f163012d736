package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

var (
	returnSeed      = flag.Uint64("return-seed", 0, "first seed of TestReturnsOfTheStoreUnderRandomFaults")
	returnRuns      = flag.Uint64("return-runs", 10, "random runs of TestReturnsOfTheStoreUnderRandomFaults with 4 instances")
	returnLargeRuns = flag.Uint64("return-large-runs", 1, "the same with 31 instances")
)

// Guards against instances that go back to an older configuration, use servers that drain or
// have left or data centres that are withdrawn, or lack a route, after returns of the store
// from copies at random moments, several in a row, beside other faults.
func TestReturnsOfTheStoreUnderRandomFaults(t *testing.T) {
	for instances, runs := range map[int]uint64{4: *returnRuns, 31: *returnLargeRuns} {
		for run := range runs {
			seed := *returnSeed + run
			t.Run(fmt.Sprintf("%d/%d", instances, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runReturnModel(t, instances, seed) })
			})
		}
	}
}

const (
	returnModelStep  = 100 * time.Millisecond
	returnModelSteps = 700
	// agreementPeriod is how long after the last fault all instances must agree with the store.
	agreementPeriod = 15 * time.Second
	withdrawnZone   = "z2"
)

func runReturnModel(t *testing.T, instances int, seed uint64) {
	m := &returnModel{
		memoryPlatform: newMemoryPlatform(t), t: t, random: rand.New(rand.NewPCG(seed, 2)),
		records: make(map[string]*returnRecord), servers: make(map[string]*returnServer),
	}
	m.configure = func(o *Options) { o.Drain = duration(drainPeriod) }
	m.publish()
	for range 3 {
		m.startServer("z1")
		m.startServer(withdrawnZone)
	}
	for number := 1; number <= instances; number++ {
		m.instances = append(m.instances, &returnInstance{number: number})
		m.start(m.instances[number-1])
	}
	time.Sleep(agreementPeriod)
	for step := range returnModelSteps {
		m.step(step)
		time.Sleep(returnModelStep)
		m.check()
	}
	for _, i := range m.instances {
		m.network.rejoin(instanceHost(i.number))
		if i.Gateway == nil {
			m.start(i)
		}
	}
	for begunAt := time.Now(); time.Since(begunAt) < 2*agreementPeriod; time.Sleep(returnModelStep) {
		m.noteReturn()
		m.writeDue()
		m.check()
	}
	m.awaitUnchanged()
	m.checkAgreement()
}

// returnModel lets the store return from copies, injects other faults, and knows what
// must be in force.
type returnModel struct {
	*memoryPlatform
	t         *testing.T
	random    *rand.Rand
	instances []*returnInstance
	// records has what the operator and the servers want the store to have, by key.
	records map[string]*returnRecord
	servers map[string]*returnServer
	started int
	// version is the last version of the configuration, and acknowledged has when the store
	// acknowledged those that it has.
	version      int
	acknowledged map[int]time.Time
	copies       []timedCopy
	// returnsLeft is the number of returns that follow in a row; era is the era of the store
	// whose losses are known.
	returnsLeft int
	era         uint64
	awayUntil   time.Time
	// disturbedUntil is the end of the last fault of the store, or of all connections.
	disturbedUntil time.Time
	log            []string
}

type timedCopy struct {
	at   time.Time
	copy *standin.Copy
}

// returnRecord is a record that its writer writes again when the store has lost it.
type returnRecord struct {
	// value returns the value to write; nil if the record is to be deleted.
	value func() []byte
	// acknowledgedAt is when the store acknowledged the value; zero while it does not have it.
	acknowledgedAt, nextTry time.Time
}

// returnServer is a backend server.
type returnServer struct {
	id, zone  string
	startedAt time.Time
	draining  bool
	// announcedAt is when the server first tried to say that it drains or leaves.
	announcedAt time.Time
}

// returnInstance is an instance with what its present process has shown that it knows.
type returnInstance struct {
	*Gateway
	number  int
	version int64
	// serves is set once a server was in use. used has the servers that were still in use when
	// they announced that they drain or leave, and dropped those that were not any more later.
	serves        bool
	used, dropped map[string]bool
	// usedZone and droppedZone are the same of the data centre that is withdrawn.
	usedZone, droppedZone        bool
	disturbedUntil, refusedUntil time.Time
}

func (m *returnModel) note(format string, arguments ...any) {
	m.log = append(m.log, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, arguments...))
}

func (m *returnModel) fail(i *returnInstance, format string, arguments ...any) {
	m.t.Helper()
	m.t.Fatalf("%s: instance %d, records %v, age %v: %s\n%s", time.Now().Format("04:05.000"), i.number, i.mirror.Version(), i.follower.Age(),
		fmt.Sprintf(format, arguments...), strings.Join(m.log, "\n"))
}

func (m *returnModel) randomPeriod(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(m.random.Int64N(int64(longest-shortest)))
}

func (m *returnModel) start(i *returnInstance) {
	first, second := netip.MustParseAddrPort("10.0.0.1:8102"), netip.MustParseAddrPort("10.0.0.2:8102")
	i.Gateway = m.startInstance(m.t, i.number, first, second)
	i.version, i.serves, i.used, i.dropped = 0, false, make(map[string]bool), make(map[string]bool)
	i.usedZone, i.droppedZone = false, false
	i.disturbedUntil = time.Now()
}

// disturbStore notes that the store is disturbed for a time.
func (m *returnModel) disturbStore(length time.Duration) {
	if until := time.Now().Add(length); until.After(m.disturbedUntil) {
		m.disturbedUntil = until
	}
}

// step changes what is to be in force, and injects faults, at random.
func (m *returnModel) step(step int) {
	m.noteReturn()
	m.writeDue()
	if step%7 == 0 && time.Now().After(m.awayUntil) {
		m.copies = append(m.copies, timedCopy{time.Now(), m.store.TakeCopy()})
	}
	switch m.random.IntN(24) {
	case 0:
		m.publish()
	case 1:
		m.changeServer()
	case 2:
		if m.random.IntN(3) == 0 {
			m.toggleWithdrawal()
		}
	}
	if time.Now().After(m.awayUntil) && (m.random.IntN(110) == 0 || m.returnsLeft > 0 && m.random.IntN(6) == 0) {
		m.beginReturn()
	}
	if step%15 == 0 {
		m.injectFault()
	}
	for _, i := range m.instances {
		if i.Gateway == nil && m.random.IntN(10) == 0 {
			m.note("instance %d starts", i.number)
			m.start(i)
		}
	}
}

// beginReturn lets the store be away and then return from a copy.
func (m *returnModel) beginReturn() {
	if m.returnsLeft == 0 {
		m.returnsLeft = 1 + m.random.IntN(4)
	}
	m.returnsLeft--
	recent := slices.IndexFunc(m.copies, func(c timedCopy) bool { return time.Since(c.at) < 12*time.Second })
	if recent < 0 {
		recent = len(m.copies) - 1
	}
	c := m.copies[recent+m.random.IntN(len(m.copies)-recent)]
	// The states after this copy are lost with the present one.
	m.copies = slices.DeleteFunc(m.copies, func(other timedCopy) bool { return other.at.After(c.at) })
	away := m.randomPeriod(200*time.Millisecond, 2*time.Second)
	m.store.StartOutage(away, false, false)
	if host := storeAddress.Addr().String(); m.random.IntN(4) == 0 {
		m.network.isolate(host)
		time.AfterFunc(away, func() { m.network.rejoin(host) })
	}
	m.awayUntil = time.Now().Add(away)
	m.disturbStore(away)
	m.note("the store is away for %v and returns from a copy of %s", away, c.at.Format("04:05.000"))
	time.AfterFunc(away, func() { m.store.Restore(c.copy) })
}

// noteReturn finds out what the store has lost by its return.
func (m *returnModel) noteReturn() {
	if m.store.Era() == m.era {
		return
	}
	m.era = m.store.Era()
	operatorDelay := m.randomPeriod(200*time.Millisecond, 3*time.Second)
	for _, key := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[key]
		if r.acknowledgedAt.IsZero() {
			continue
		}
		item, err := m.client.Get(m.ctx, key)
		if isSameRecord(item.Value, r.value()) && (err == nil || r.value() == nil) {
			continue
		}
		r.acknowledgedAt = time.Time{}
		r.nextTry = time.Now().Add(operatorDelay)
		if strings.HasPrefix(key, platform.ServerPrefix) {
			r.nextTry = time.Now().Add(m.randomPeriod(200*time.Millisecond, 2*time.Second))
		}
		m.note("%s is lost until %s", key, r.nextTry.Format("04:05.000"))
		if key == platform.ConfigurationKey {
			var stored struct{ Version int }
			if err := json.Unmarshal(item.Value, &stored); err != nil {
				m.t.Fatal(err)
			}
			for version := range m.acknowledged {
				if version > stored.Version {
					delete(m.acknowledged, version)
				}
			}
		}
	}
	if m.random.IntN(2) == 0 {
		for n := range 20 + m.random.IntN(100) {
			// The store may be disturbed.
			_, _ = m.client.Commit(m.ctx, nil, []platform.Write{{Key: fmt.Sprintf("op/other/%d", n%30), Value: []byte("{}")}}, nil)
		}
	}
}

// isSameRecord reports whether two records differ at most in the number of the heartbeat.
func isSameRecord(a, b []byte) bool {
	var first, second map[string]any
	if json.Unmarshal(a, &first) != nil || json.Unmarshal(b, &second) != nil {
		return len(a) == len(b)
	}
	delete(first, "sequence")
	delete(second, "sequence")
	return fmt.Sprint(first) == fmt.Sprint(second)
}
