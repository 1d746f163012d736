package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/rollout"
	"lentilward.org/lentilward/rollout/local"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// rolloutModel is a fleet of which each instance has the real rollouts and the real choice
// of servers of one service. Peers and store are function calls, and servers a function.
type rolloutModel struct {
	t         *testing.T
	instances []*rolloutInstance
	// behave returns what a server of a version does with a request: how long it takes,
	// and whether it fails.
	behave func(c modelCall) (time.Duration, bool)
	// route picks the route of a request.
	route func() string
	// sample reports whether a request is sent at all; nil if all are.
	sample func() bool

	mu            sync.Mutex
	era, revision uint64
	store         map[string]mirror.Record
	// storeDown makes all writes fail. loseAnswers makes them succeed without an answer.
	// storeSilent makes them time out.
	storeDown, storeSilent, loseAnswers bool
	// statuses has the states reported for the service, in order.
	statuses []string
	ordered  time.Time
	duration time.Duration
	// requests and exposed count calls from the order to its deadline: first calls, and
	// calls of any kind to the target.
	requests, exposed, failures int
	target                      string
	// badAnswers has when each bad answer of the target was given, and lastSent when the
	// target got its last call.
	badAnswers []time.Time
	lastSent   time.Time
	byVersion  map[string]int
	// recent has the times of the last calls of the target.
	recent []time.Time
	// oldStopped is when the old version's servers stopped; calls in flight then are cut.
	oldStopped time.Time
	cut        int
	// frames counts the frames between instances.
	frames  int
	stopOld string
}

// modelCall is a call of a server in the model.
type modelCall struct {
	version, route string
	sinceOrder     time.Duration
	// perSecond is how many calls the target got in the last second.
	perSecond int
}

type rolloutInstance struct {
	m       *rolloutModel
	number  int
	name    string
	runner  *rolloutRunner
	service *balance.Service
	stop    context.CancelFunc
	servers []*balance.Server
	// era is the era of the records that it knows.
	era uint64
	// cutOff separates the instance from all others and the store; dead stops it.
	cutOff, dead bool
}

const rolledService = "s"

// newRolloutModel starts a fleet with three servers of v1.
func newRolloutModel(t *testing.T, instances int) *rolloutModel {
	m := &rolloutModel{
		t: t, era: 1, store: make(map[string]mirror.Record), byVersion: make(map[string]int),
		behave: func(modelCall) (time.Duration, bool) { return 10 * time.Millisecond, false }, route: func() string { return "r" },
	}
	for i := range instances {
		m.instances = append(m.instances, &rolloutInstance{m: m, number: i, name: fmt.Sprint("i-", i)})
	}
	for _, i := range m.instances {
		i.start()
	}
	m.setServers("v1", "v1", "v1")
	return m
}

// start starts the process of an instance, which reads the store's records.
func (i *rolloutInstance) start() {
	var ctx context.Context
	ctx, i.stop = context.WithCancel(i.m.t.Context())
	out := io.Discard
	if os.Getenv("ROLLOUT_LOG") != "" {
		out = os.Stdout
	}
	log := slog.New(slog.NewTextHandler(out, nil)).With("instance", i.name)
	runner := &rolloutRunner{
		self: i.name, incarnation: uint64(time.Now().UnixNano()), log: log, local: local.New(log),
		members:    i.members,
		isStopping: func() bool { return false }, controllers: make(map[string]*rolloutControl), retryAt: make(map[string]time.Time), wake: make(chan struct{}, 1),
		bounds: func() rollout.Bounds { return rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second} },
		write:  i.write, reports: i.report, notices: i.notify,
	}
	runner.local.OnAsk = runner.wakeUp
	service := balance.NewService(rolledService, func() *balance.RetryBudget { return &balance.RetryBudget{Window: time.Second} })
	i.m.mu.Lock()
	i.dead, i.runner, i.service, i.servers, i.era = false, runner, service, nil, i.m.era
	records := make([]mirror.Record, 0, len(i.m.store))
	for _, r := range i.m.store {
		records = append(records, r)
	}
	i.m.mu.Unlock()
	slices.SortFunc(records, func(a, b mirror.Record) int { return cmp.Compare(a.Key, b.Key) })
	for _, r := range records {
		runner.applyRecord(r, time.Now().Add(-time.Hour), time.Now())
	}
	go runner.run(ctx)
}

func (i *rolloutInstance) members() *blackboard.Members {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	members := &blackboard.Members{Self: i.name}
	for _, other := range i.m.instances {
		state := blackboard.Alive
		if other != i && (other.dead || other.cutOff || i.cutOff) {
			state = blackboard.Dead
		}
		members.List = append(members.List, blackboard.Member{
			Name: other.name, State: state, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(other.number >> 8), byte(other.number)}), 1),
		})
	}
	return members
}

var errModel = errors.New("not reachable in the model")

// peer returns the instance at an address if it can be reached.
func (i *rolloutInstance) peer(address netip.AddrPort) (*rolloutInstance, error) {
	time.Sleep(time.Millisecond)
	a := address.Addr().As4()
	other := i.m.instances[int(a[2])<<8|int(a[3])]
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	i.m.frames++
	if other.dead || other.cutOff || i.cutOff || i.dead {
		return nil, errModel
	}
	return other, nil
}

// current returns the runner of the instance's present process.
func (i *rolloutInstance) current() *rolloutRunner {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	return i.runner
}

func (i *rolloutInstance) report(_ context.Context, address netip.AddrPort, r []rollout.Report) ([]rollout.Reply, error) {
	other, err := i.peer(address)
	if err != nil {
		return nil, err
	}
	return other.current().handleReports(r), nil
}

func (i *rolloutInstance) notify(_ context.Context, address netip.AddrPort, n []rollout.Notice) ([]rollout.Confirmation, error) {
	other, err := i.peer(address)
	if err != nil {
		return nil, err
	}
	return other.current().handleNotices(n), nil
}

// write writes a record through the platform's codecs.
func (i *rolloutInstance) write(_ context.Context, service string, record domain.RolloutRecord, revision uint64) (uint64, error) {
	time.Sleep(5 * time.Millisecond)
	if i.m.isSilent() {
		time.Sleep(rolloutWriteTimeout)
		return 0, errModel
	}
	w, err := platform.EncodeRolloutRecord(service, record)
	if err != nil {
		return 0, err
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	if i.m.storeDown || i.cutOff || i.dead {
		return 0, errModel
	}
	if i.m.store[w.Key].Revision != revision || i.m.store[platform.RolloutOrderPrefix+service].Revision != record.OrderRevision {
		return 0, platform.ErrConflict
	}
	status, err := platform.EncodeRolloutStatus(service, record.State, record.Target)
	if err != nil {
		return 0, err
	}
	if n := len(i.m.statuses); n == 0 || i.m.statuses[n-1] != string(status.Value) {
		i.m.statuses = append(i.m.statuses, string(status.Value))
		if record.State == domain.RolloutCompleted {
			i.m.stopServersExcept(record.Target)
		}
	}
	written := i.m.put(w.Key, w.Value)
	if i.m.loseAnswers {
		return 0, errModel
	}
	return written, nil
}

func (m *rolloutModel) isSilent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeSilent
}

// stopServersExcept stops the servers of other versions: calls in flight to them are cut.
func (m *rolloutModel) stopServersExcept(version string) {
	m.oldStopped, m.stopOld = time.Now(), version
	for _, i := range m.instances {
		for _, s := range i.servers {
			if s.Version != version {
				m.cut += int(s.InFlight())
			}
		}
	}
}

// put stores a record and passes it on to the instances. The caller holds mu.
func (m *rolloutModel) put(key string, value []byte) uint64 {
	m.revision++
	r := mirror.Record{Key: key, Value: value, Revision: m.revision, Era: m.era}
	m.store[key] = r
	for _, i := range m.instances {
		i.deliver(r, 20*time.Millisecond+rand.N(200*time.Millisecond))
	}
	return m.revision
}

// deliver passes a record on after a delay, unless a newer one was.
func (i *rolloutInstance) deliver(r mirror.Record, delay time.Duration) {
	time.AfterFunc(delay, func() {
		i.m.mu.Lock()
		if i.cutOff {
			i.m.mu.Unlock()
			i.deliver(r, 50*time.Millisecond)
			return
		}
		skip, runner := i.dead || i.m.store[r.Key].Revision != r.Revision || i.m.era != r.Era, i.runner
		isNewEra := i.era != i.m.era && !i.dead
		i.era = i.m.era
		i.m.mu.Unlock()
		switch {
		case isNewEra:
			i.list(runner)
		case !skip && r.Key != "":
			runner.applyRecord(r, time.Now().Add(-delay), time.Now())
		}
	})
}

// setServers replaces the servers of all instances by ones of these versions; those that
// exist stay.
func (m *rolloutModel) setServers(versions ...string) {
	for _, i := range m.instances {
		i.setServers(versions...)
	}
}

func (i *rolloutInstance) setServers(versions ...string) {
	count := make(map[string]int)
	existing := make(map[string]*balance.Server)
	i.m.count(func() {
		for _, s := range i.servers {
			existing[s.ID] = s
		}
	})
	var servers []*balance.Server
	for _, v := range versions {
		id := fmt.Sprint(v, "-", count[v])
		count[v]++
		s := existing[id]
		if s == nil {
			pool := conn.NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
			pool.Limit.Store(20)
			s = balance.NewServer(domain.BackendServer{ID: id, Version: v}, pool, false)
		}
		servers = append(servers, s)
	}
	i.m.count(func() { i.servers = servers })
	i.runner.local.SetServers(i.service, count, time.Now())
	i.service.SetServers(servers)
}

// order writes an order and starts the servers of its target beside the others.
func (m *rolloutModel) order(target string, duration time.Duration) {
	m.mu.Lock()
	m.put(platform.RolloutOrderPrefix+rolledService, fmt.Appendf(nil, `{"service":%q,"targetVersion":%q,"durationS":%g}`, rolledService, target, duration.Seconds()))
	m.ordered, m.duration, m.target = time.Now(), duration, target
	m.requests, m.exposed, m.badAnswers = 0, 0, nil
	m.mu.Unlock()
	m.setServers("v1", "v1", "v1", target, target, target)
}

// send sends requests at a rate to random instances for a time.
func (m *rolloutModel) send(perSecond float64, length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		i := m.instances[rand.IntN(len(m.instances))]
		m.mu.Lock()
		route, service, isSent := m.route, i.service, !i.dead && (m.sample == nil || m.sample())
		m.mu.Unlock()
		if isSent {
			go i.request(service, route())
		}
	}
}

// request makes the first call of a request and retries it once after a failure.
func (i *rolloutInstance) request(service *balance.Service, route string) {
	if service.AwaitsPermit(time.Now()) {
		time.Sleep(balance.PermitWait)
	}
	s := service.AcquireFirst(route, time.Now())
	if s != nil && i.call(service, s, route, false) {
		return
	}
	if s != nil {
		s = service.Acquire([]*balance.Server{s}, time.Now())
	}
	if s == nil || !i.call(service, s, route, true) {
		i.m.count(func() { i.m.failures++ })
	}
}

func (m *rolloutModel) count(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// call makes one call and reports whether it succeeded.
func (i *rolloutInstance) call(service *balance.Service, s *balance.Server, route string, extra bool) bool {
	m, begin := i.m, time.Now()
	var target string
	var behave func(modelCall) (time.Duration, bool)
	c := modelCall{version: s.Version, route: route}
	m.count(func() {
		target, behave = m.target, m.behave
		c.sinceOrder = begin.Sub(m.ordered)
		within := !m.ordered.IsZero() && c.sinceOrder <= m.duration
		m.byVersion[s.Version]++
		if within && !extra {
			m.requests++
		}
		if s.Version == m.target {
			m.lastSent = begin
			if within {
				m.exposed++
			}
			m.recent = append(m.recent, begin)
			for begin.Sub(m.recent[0]) > time.Second {
				m.recent = m.recent[1:]
			}
			c.perSecond = len(m.recent)
		}
		if m.stopOld != "" && s.Version != m.stopOld {
			m.cut++
		}
	})
	took, failed := behave(c)
	time.Sleep(took)
	outcome := balance.Replied
	if failed {
		outcome = balance.Failed
	}
	if s.Version == target && (failed || took >= 30*time.Millisecond) {
		m.count(func() { m.badAnswers = append(m.badAnswers, time.Now()) })
	}
	service.RecordVersion(s, balance.VersionResult{Route: route, Extra: extra, Elapsed: took, Outcome: outcome})
	service.Release(s)
	return !failed
}

// callsOf returns the number of calls to servers of a version.
func (m *rolloutModel) callsOf(version string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byVersion[version]
}

// status returns the last status of the service.
func (m *rolloutModel) status() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.statuses) == 0 {
		return ""
	}
	_, rest, _ := strings.Cut(m.statuses[len(m.statuses)-1], `"state":"`)
	state, _, _ := strings.Cut(rest, `"`)
	return state
}

// wantBounds checks the bounds of a bad version.
func (m *rolloutModel) wantBounds() {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	if bound := 0.1*float64(m.requests) + 50; float64(m.exposed) > bound {
		m.t.Errorf("%d of %d requests were exposed, bound %.0f", m.exposed, m.requests, bound)
	}
	if len(m.badAnswers) >= 50 {
		if late := m.lastSent.Sub(m.badAnswers[49]); late > 5*time.Second {
			m.t.Errorf("a call was sent %v after the 50th bad answer", late)
		}
	}
}

// want checks the status, and when it was known.
func (m *rolloutModel) want(status string) {
	m.t.Helper()
	if got := m.status(); got != status {
		m.t.Errorf("status is %q, want %q", got, status)
	}
	state := m.status()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.t.Logf("status %q: %d of %d requests exposed, %d bad answers, %d failed requests, calls by version %v, %d cut, %d records written, %d frames", state, m.exposed, m.requests,
		len(m.badAnswers), m.failures, m.byVersion, m.cut, m.revision, m.frames)
}

// runModel runs a test in a bubble and ends all instances after it.
func runModel(t *testing.T, instances int, f func(m *rolloutModel)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newRolloutModel(t, instances)
		go m.send(40, 60*time.Second)
		time.Sleep(3 * time.Second)
		f(m)
		for _, i := range m.instances {
			i.stop()
		}
		time.Sleep(65 * time.Second)
	})
}
