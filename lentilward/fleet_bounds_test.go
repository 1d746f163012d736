package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"lentilward.org/lentilward/suspect"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// generateLoad has each running instance send the first call of a request and
// then as many retries as its budget allows, once per interval, until the
// context ends.
func (m *model) generateLoad(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(interval)
		for _, n := range m.machines() {
			if !n.isInactive() {
				n.sendCalls(m)
			}
		}
	}
}

func (n *node) sendCalls(m *model) {
	snapshot := n.gateway.Load().directory.Current.Load()
	if snapshot == nil {
		return
	}
	budget, now := snapshot.Services[modelService].Budget, time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	budget.RecordFirstCall(now)
	m.calls = append(m.calls, recordedCall{at: now})
	for budget.Spend(now, n.gateway.Load().fleet.share(), false) {
		m.calls = append(m.calls, recordedCall{at: now, retry: true})
	}
}

// checkRetryBudget returns an error if there is a window in which all instances
// together sent more retries than the budget allows.
func (m *model) checkRetryBudget() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var times [2][]time.Time
	for _, c := range m.calls {
		kind := lo.Ternary(c.retry, 1, 0)
		times[kind] = append(times[kind], c.at)
	}
	count := func(from, to time.Time, kind int) int {
		first, _ := slices.BinarySearchFunc(times[kind], from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(times[kind], to, time.Time.Compare)
		return end - first
	}
	for i, c := range m.calls {
		if i > 0 && m.calls[i-1].at.Equal(c.at) {
			continue
		}
		retries := count(c.at, c.at.Add(modelRetryWindow), 1)
		requests := max(count(c.at, c.at.Add(modelRetryWindow), 0), count(c.at.Add(-modelRetryWindow), c.at, 0),
			count(c.at.Add(-modelRetryWindow/2), c.at.Add(modelRetryWindow/2), 0))
		if float64(retries) > modelRetryRatio*float64(requests)+modelRetrySlack {
			return fmt.Errorf("%d retries within the window from %v on, with %d requests", retries, c.at, requests)
		}
	}
	return nil
}

// poisonRequest is a request that crashes a backend server at each run. Its
// caller keeps sending it to random machines.
type poisonRequest struct {
	request *domain.Request
	crashes int
	// thirdCrash is when the third server crashed. lateRuns counts the runs
	// more than maxSpreadDelay after that, on instances that had been connected
	// to the others for as long.
	thirdCrash time.Time
	mu         sync.Mutex
	lateRuns   []string
}

// maxSpreadDelay bounds the time in which connected instances must inform each
// other of a poison request.
const maxSpreadDelay = 4 * time.Second

// sendPoisonRequests sends a poison request to random machines until the context
// ends.
func (m *model) sendPoisonRequests(ctx context.Context, p *poisonRequest) {
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		n := m.machines()[m.poisonRandom.IntN(len(m.machines()))]
		g := n.gateway.Load()
		if n.isInactive() || g.directory.Current.Load() == nil {
			continue
		}
		end, servers := func(bool) {}, 2
		if g.callers.IsPoison(p.request, "") {
			if end, _ = g.callers.StartTrial(ctx, p.request, "", time.Now().Add(time.Second)); end == nil {
				continue
			}
			servers = 1
		}
		p.crash(g, servers)
		end(true)
		if p.crashes >= 3 && p.thirdCrash.IsZero() {
			p.thirdCrash = time.Now()
		}
		if !p.thirdCrash.IsZero() && time.Since(p.thirdCrash) > maxSpreadDelay && n.isConnected() {
			p.mu.Lock()
			p.lateRuns = append(p.lateRuns, fmt.Sprintf("%s at %s, trial %v: %+v", time.Now().Format("05.000"), n.name, servers == 1, g.suspects.Find(suspect.RequestFingerprint(p.request, ""))))
			p.mu.Unlock()
		}
	}
}

// crash makes an instance lose a number of servers while they run the request.
func (p *poisonRequest) crash(g *Gateway, servers int) {
	for range servers {
		p.crashes++
		g.suspects.RecordLoss(context.Background(), suspect.RequestFingerprint(p.request, ""), uint64(p.crashes), strconv.Itoa(p.crashes), time.Now())
	}
}

// maxLateRuns bounds the runs of a poison request after all connected instances
// should refuse it.
const maxLateRuns = 3

func (p *poisonRequest) check() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lateRuns) > maxLateRuns {
		return fmt.Errorf("a poison request ran %d times after all connected instances should refuse it:\n%s", len(p.lateRuns), strings.Join(p.lateRuns, "\n"))
	}
	return nil
}

// isConnected reports whether the machine can reach its peers and its instance
// has been running for longer than maxSpreadDelay.
func (n *node) isConnected() bool {
	return n.partition.Load() == 0 && !n.peersUnreachable.Load() && time.Since(n.gateway.Load().fleet.started) > maxSpreadDelay
}

// checkConvergence checks, some time after the last fault, that every instance
// counts all instances and has the newest configuration and the backend server,
// and that their connection limits together stay within that of the server.
func (m *model) checkConvergence() error {
	connections := 0
	for _, n := range m.machines() {
		if size := n.gateway.Load().fleet.size(); size < len(m.machines()) {
			return fmt.Errorf("%s counts %d of %d instances", n.name, size, len(m.machines()))
		}
		snapshot := n.gateway.Load().directory.Current.Load()
		if snapshot == nil {
			return fmt.Errorf("%s has no configuration", n.name)
		}
		if version := snapshot.Configuration.Version; version < uint64(m.committedVersion) {
			return fmt.Errorf("%s has version %d, want %d", n.name, version, m.committedVersion)
		}
		if n.gateway.Load().directory.Current.Load().Services[modelService].Servers()[0] != n.server.Load() {
			return fmt.Errorf("%s does not have the backend server", n.name)
		}
		connections += int(n.server.Load().Pool.Limit.Load())
	}
	if connections > modelMaxConnections {
		return fmt.Errorf("instances may open %d connections to a server that accepts %d", connections, modelMaxConnections)
	}
	return nil
}

// maxWithdrawalDelay bounds the time until a withdrawal is in force on every
// instance.
const maxWithdrawalDelay = 3 * time.Second

// checkWithdrawal withdraws the data centre of the backend server while the
// store is unreachable for one instance, and checks that every instance stops
// using it.
func (m *model) checkWithdrawal() error {
	m.machines()[m.random.IntN(len(m.machines()))].storeUnreachable.Store(true)
	time.Sleep(2 * time.Second)
	if !m.writeRecord(platform.WithdrawnPrefix+"z1", []byte("{}")) {
		return errors.New("store did not accept the withdrawal")
	}
	time.Sleep(maxWithdrawalDelay)
	for _, n := range m.machines() {
		if !n.server.Load().IsOutOfService() {
			return fmt.Errorf("%s still uses the withdrawn data centre", n.name)
		}
	}
	return nil
}

// Under any sequence of faults of machines, links and the store, all instances
// together stay within the retry budget in every window. Soon after the last
// fault they agree on the configuration, the members and the shares of
// connections.
func TestFleetKeepsLimitsAndConvergesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		instances := rapid.IntRange(2, 5).Draw(rt, "instances")
		if err := runFleetWithFaults(t, seed, instances); err != nil {
			rt.Fatalf("seed %d, %d instances: %v", seed, instances, err)
		}
	})
}

// runFleetWithFaults simulates about a minute of random faults and returns the
// errors of all checks, with the faults injected.
func runFleetWithFaults(t *testing.T, seed uint64, instances int) (failure error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := newModel(ctx, seed, instances)
		go m.generateLoad(ctx, time.Duration(25<<m.random.IntN(5))*time.Millisecond)
		time.Sleep(12 * time.Second)
		poison := &poisonRequest{request: &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}}
		go m.sendPoisonRequests(ctx, poison)
		for range 10 {
			m.injectFault()
			time.Sleep(time.Duration(m.random.IntN(6000)) * time.Millisecond)
			if m.random.IntN(3) == 0 {
				m.publishConfiguration()
			}
			if m.random.IntN(4) == 0 {
				m.faultLog = append(m.faultLog, time.Now().Format("05.000")+": clear faults")
				m.clearFaults()
			}
		}
		time.Sleep(10 * time.Second)
		m.clearFaults()
		time.Sleep(10 * time.Second)
		if m.publishConfiguration() {
			time.Sleep(3 * time.Second)
		}
		if failure = errors.Join(m.checkRetryBudget(), m.checkConvergence(), m.checkWithdrawal(), poison.check()); failure != nil {
			failure = fmt.Errorf("%w\n%s", failure, strings.Join(m.faultLog, "\n"))
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
	return failure
}

// An instance that restarts while it reaches the store but no peer must not use
// the whole retry budget alone.
func TestIsolatedInstanceDoesNotSpendTheFleetsRetryBudget(t *testing.T) {
	runWithFleet(t, 4, func(m *model) {
		go m.generateLoad(m.ctx, 400*time.Millisecond)
		time.Sleep(10 * time.Second)
		m.machines()[0].peersUnreachable.Store(true)
		m.machines()[0].restart(100 * time.Millisecond)
		time.Sleep(25 * time.Second)
		if err := m.checkRetryBudget(); err != nil {
			t.Error(err)
		}
	})
}

// An instance that starts without a connection to its peers must fetch their
// suspect requests when it first reaches one, even if it has read the store
// already.
func TestNewInstanceFetchesSuspectRequestsFromPeers(t *testing.T) {
	runWithFleet(t, 2, func(m *model) {
		n, poison := m.machines()[0], &poisonRequest{request: &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}}
		poison.crash(n.gateway.Load(), 2)
		time.Sleep(time.Second)
		n.peersUnreachable.Store(true)
		n.restart(100 * time.Millisecond)
		time.Sleep(2 * time.Second)
		if n.gateway.Load().directory.Current.Load() == nil {
			t.Error("instance has no configuration although it reaches the store")
		}
		n.peersUnreachable.Store(false)
		time.Sleep(time.Second)
		poison.crash(n.gateway.Load(), 2)
		if !n.gateway.Load().callers.IsPoison(poison.request, "") {
			t.Error("instance does not refuse a request that crashed servers in two runs")
		}
	})
}

// All instances still refuse a poison request after they have all restarted.
func TestPoisonRequestsSurviveFleetRestart(t *testing.T) {
	runWithFleet(t, 3, func(m *model) {
		poison := &poisonRequest{request: &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}}
		for _, n := range m.machines()[:2] {
			poison.crash(n.gateway.Load(), 2)
			time.Sleep(time.Second)
		}
		for _, n := range m.machines() {
			n.restart(time.Second)
		}
		time.Sleep(4 * time.Second)
		for _, n := range m.machines() {
			if !n.gateway.Load().callers.IsPoison(poison.request, "") {
				t.Errorf("%s does not refuse the poison request", n.name)
			}
		}
	})
}

// runWithFleet runs a test with instances that have discovered each other.
func runWithFleet(t *testing.T, instances int, test func(m *model)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := newModel(ctx, 1, instances)
		time.Sleep(2 * time.Second)
		test(m)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
