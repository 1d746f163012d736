package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// serve brings requests to the instances until the context ends, and has them
// send as many repeats as they may.
func (m *model) serve(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(pause)
		for _, n := range m.all() {
			if !n.dark() {
				n.spend(m)
			}
		}
	}
}

func (n *node) spend(m *model) {
	snapshot := n.gateway.Load().directory.Current.Load()
	if snapshot == nil {
		return
	}
	budget, now := snapshot.Services[modelService].Budget, time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	budget.First(now)
	m.points = append(m.points, point{at: now})
	for budget.Spend(now, n.gateway.Load().fleet.share(), false) {
		m.points = append(m.points, point{at: now, repeat: true})
	}
}

// checkBudget looks for a window in which all instances together sent more
// repeats than are allowed.
func (m *model) checkBudget() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var times [2][]time.Time
	for _, p := range m.points {
		kind := lo.Ternary(p.repeat, 1, 0)
		times[kind] = append(times[kind], p.at)
	}
	count := func(from, to time.Time, kind int) int {
		first, _ := slices.BinarySearchFunc(times[kind], from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(times[kind], to, time.Time.Compare)
		return end - first
	}
	for i, p := range m.points {
		if i > 0 && m.points[i-1].at.Equal(p.at) {
			continue
		}
		repeats := count(p.at, p.at.Add(modelWindow), 1)
		requests := max(count(p.at, p.at.Add(modelWindow), 0), count(p.at.Add(-modelWindow), p.at, 0),
			count(p.at.Add(-modelWindow/2), p.at.Add(modelWindow/2), 0))
		if float64(repeats) > modelRatio*float64(requests)+modelSlack {
			return fmt.Errorf("%d repeats from %v on, %d requests", repeats, p.at, requests)
		}
	}
	return nil
}

// harm is a request that takes a backend server with it each time that it runs.
// Its caller sends it again and again, to any machine.
type harm struct {
	request *domain.Request
	crashes int
	// third is when it took the third server, late how often it ran once those
	// in touch with each other had time to learn of that.
	third time.Time
	late  int
}

// learnTime is how long instances that reach each other take at most to tell of
// a harmful request.
const learnTime = 4 * time.Second

// sendHarm sends harmful requests until the context ends.
func (m *model) sendHarm(ctx context.Context, h *harm) {
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		n := m.all()[m.harmDraw.IntN(len(m.all()))]
		g := n.gateway.Load()
		if n.dark() || g.directory.Current.Load() == nil || g.callers.Harmful(h.request) {
			continue
		}
		g.callers.Lost(h.request, 2)
		h.crashes += 2
		if h.crashes >= 3 && h.third.IsZero() {
			h.third = time.Now()
		}
		if !h.third.IsZero() && time.Since(h.third) > learnTime && n.inTouch() {
			h.late++
		}
	}
}

// mostLate is how often a harmful request may run after all could know of it.
const mostLate = 3

func (h *harm) check() error {
	if h.late > mostLate {
		return fmt.Errorf("a harmful request ran %d times after all could know of it", h.late)
	}
	return nil
}

// inTouch tells whether nothing kept the machine from hearing of others lately.
func (n *node) inTouch() bool {
	return n.zone.Load() == 0 && !n.cut.Load() && time.Since(n.gateway.Load().fleet.began) > learnTime
}

// checkAgreement looks at what all must have once nothing was wrong for a while.
func (m *model) checkAgreement() error {
	connections := 0
	for _, n := range m.all() {
		if size := n.gateway.Load().fleet.size(); size < len(m.all()) {
			return fmt.Errorf("%s counts %d instances of %d", n.name, size, len(m.all()))
		}
		snapshot := n.gateway.Load().directory.Current.Load()
		if snapshot == nil {
			return fmt.Errorf("%s has no configuration", n.name)
		}
		if version := snapshot.Configuration.Version; version < uint64(m.version) {
			return fmt.Errorf("%s has version %d, want %d", n.name, version, m.version)
		}
		if n.gateway.Load().directory.Current.Load().Services[modelService].Servers()[0] != n.server.Load() {
			return fmt.Errorf("%s does not have the backend server", n.name)
		}
		connections += int(n.server.Load().Pool.Limit.Load())
	}
	if connections > modelConnections {
		return fmt.Errorf("%d connections to a server that takes %d", connections, modelConnections)
	}
	return nil
}

// withdrawTime is how soon a withdrawal must be in force.
const withdrawTime = 3 * time.Second

// checkWithdrawal takes the data centre of the backend server out of service,
// while the store does not answer one of the instances.
func (m *model) checkWithdrawal() error {
	m.all()[m.draw.IntN(len(m.all()))].shut.Store(true)
	time.Sleep(2 * time.Second)
	if !m.put(platform.WithdrawnPrefix+"z1", []byte("{}")) {
		return errors.New("the store took no withdrawal")
	}
	time.Sleep(withdrawTime)
	for _, n := range m.all() {
		if !n.server.Load().Out() {
			return fmt.Errorf("%s still uses a data centre that was withdrawn", n.name)
		}
	}
	return nil
}

// Whatever befalls the machines, their links and the store, all instances
// together keep to the allowance of repeats in every window; and soon after all
// is well they agree on the configuration, on each other and on the shares of
// connections.
func TestFleetKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		instances := rapid.IntRange(2, 5).Draw(rt, "instances")
		if err := playFleet(t, seed, instances); err != nil {
			rt.Fatalf("seed %d, %d instances: %v", seed, instances, err)
		}
	})
}

// playFleet plays a minute of troubles.
func playFleet(t *testing.T, seed uint64, instances int) (failure error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := newModel(ctx, seed, instances)
		go m.serve(ctx, time.Duration(25<<m.draw.IntN(5))*time.Millisecond)
		time.Sleep(12 * time.Second)
		h := &harm{request: &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}}
		go m.sendHarm(ctx, h)
		for range 10 {
			m.disturb()
			time.Sleep(time.Duration(m.draw.IntN(6000)) * time.Millisecond)
			if m.draw.IntN(3) == 0 {
				m.configure()
			}
			if m.draw.IntN(4) == 0 {
				m.notes = append(m.notes, time.Now().Format("05.000")+": heal")
				m.heal()
			}
		}
		time.Sleep(10 * time.Second)
		m.heal()
		time.Sleep(10 * time.Second)
		if m.configure() {
			time.Sleep(3 * time.Second)
		}
		if failure = errors.Join(m.checkBudget(), m.checkAgreement(), m.checkWithdrawal(), h.check()); failure != nil {
			failure = fmt.Errorf("%w\n%s", failure, strings.Join(m.notes, "\n"))
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
	return failure
}

// An instance that restarts while it reaches the store but no peer does not take
// the allowance of all for its own.
func TestLoneInstanceLeavesTheAllowanceToOthers(t *testing.T) {
	withFleet(t, 4, func(m *model) {
		go m.serve(m.ctx, 400*time.Millisecond)
		time.Sleep(10 * time.Second)
		m.all()[0].cut.Store(true)
		m.all()[0].restart(100 * time.Millisecond)
		time.Sleep(25 * time.Second)
		if err := m.checkBudget(); err != nil {
			t.Error(err)
		}
	})
}

// An instance that starts learns once it meets a peer what servers were lost with
// before, also if it has read the store already.
func TestNewInstanceLearnsOfSuspects(t *testing.T) {
	withFleet(t, 2, func(m *model) {
		n, request := m.all()[0], &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}
		n.gateway.Load().callers.Lost(request, 2)
		time.Sleep(time.Second)
		n.cut.Store(true)
		n.restart(100 * time.Millisecond)
		time.Sleep(2 * time.Second)
		if n.gateway.Load().directory.Current.Load() == nil {
			t.Error("want an instance that has read the store")
		}
		n.cut.Store(false)
		time.Sleep(time.Second)
		n.gateway.Load().callers.Lost(request, 2)
		if !n.gateway.Load().callers.Harmful(request) {
			t.Error("a request that came twice is not known to be harmful")
		}
	})
}

// A fleet that restarts as a whole still refuses harmful requests.
func TestHarmfulRequestsOutlastTheFleet(t *testing.T) {
	withFleet(t, 3, func(m *model) {
		request := &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}
		for _, n := range m.all()[:2] {
			n.gateway.Load().callers.Lost(request, 2)
			time.Sleep(time.Second)
		}
		for _, n := range m.all() {
			n.restart(time.Second)
		}
		time.Sleep(4 * time.Second)
		for _, n := range m.all() {
			if !n.gateway.Load().callers.Harmful(request) {
				t.Errorf("%s does not know the harmful request", n.name)
			}
		}
	})
}

// withFleet runs a test with a fleet that has met.
func withFleet(t *testing.T, instances int, test func(m *model)) {
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
