package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against tenants that are sent more than their allowance over all instances, and
// against refusals of requests within it.
func TestAllowancesHoldOverAllInstances(t *testing.T) {
	for _, c := range []modelCase{
		{name: "one tenant at 7.5 times its rate", served: 0.99},
		{name: "uneven callers", uneven: true, served: 0.99},
		{name: "callers that retry three times at once", uneven: true, retries: 3, served: 0.99},
		{name: "home lost", served: 0.97, fault: func(m *quotaModel) {
			home := m.homeOf(0, modelName(modelSurge))
			time.Sleep(12 * time.Second)
			m.mu.Lock()
			m.instances[home].down = true
			m.mu.Unlock()
			m.notice(func(_, other int) bool { return other == home })
		}},
		{name: "home frozen for 8 s", served: 0.97, fault: func(m *quotaModel) {
			home := m.homeOf(0, modelName(modelSurge))
			n := m.instances[home]
			time.Sleep(11 * time.Second)
			m.mu.Lock()
			n.frozen, n.woken = true, make(chan struct{})
			m.mu.Unlock()
			m.notice(func(viewer, other int) bool { return other == home && viewer != home })
			time.Sleep(8 * time.Second)
			m.mu.Lock()
			n.frozen = false
			close(n.woken)
			m.mu.Unlock()
			m.notice(func(int, int) bool { return false })
		}},
		{name: "halves cut off from each other", served: 0.9, fault: func(m *quotaModel) {
			time.Sleep(11 * time.Second)
			m.mu.Lock()
			for i, n := range m.instances {
				n.side = i % 2
			}
			m.mu.Unlock()
			m.notice(func(viewer, other int) bool { return viewer%2 != other%2 })
			time.Sleep(10 * time.Second)
			m.mu.Lock()
			for _, n := range m.instances {
				n.side = 0
			}
			m.mu.Unlock()
			m.notice(func(int, int) bool { return false })
		}},
		{name: "members in dispute", served: 0.97, fault: func(m *quotaModel) {
			home := m.homeOf(0, modelName(modelSurge))
			time.Sleep(11 * time.Second)
			m.notice(func(viewer, other int) bool { return viewer%2 == 0 && other == home && viewer != home })
		}},
		{name: "instances added", served: 0.97, start: func(m *quotaModel) {
			for i := range m.instances {
				if i%4 != 1 {
					m.start(i)
				}
			}
		}, fault: func(m *quotaModel) {
			time.Sleep(11 * time.Second)
			m.mu.Lock()
			for i := range m.instances {
				if i%4 == 1 {
					m.startAlone(i)
					continue
				}
				m.instances[i].hidden = make(map[int]bool)
				for k := range m.instances {
					if k%4 == 1 && i%4 != 1 {
						m.instances[i].hidden[k] = true
					}
				}
			}
			m.mu.Unlock()
			m.notice(func(int, int) bool { return false })
		}},
		{name: "all started at once", startsSurging: true, served: 0.98, start: func(m *quotaModel) {
			for i := range m.instances {
				time.AfterFunc(time.Duration(m.random.Int64N(int64(1500*time.Millisecond))), func() {
					m.mu.Lock()
					m.startAlone(i)
					m.mu.Unlock()
				})
			}
			for i, n := range m.instances {
				time.AfterFunc(3*time.Second+time.Duration(m.random.Int64N(int64(3*time.Second))), func() {
					m.mu.Lock()
					defer m.mu.Unlock()
					m.instances[i].hidden, n.changedAt = make(map[int]bool), time.Now()
				})
			}
		}},
		{name: "limit lowered far below what is sent", served: 0.98, since: modelUptime + 13*time.Second, fault: func(m *quotaModel) {
			time.Sleep(12 * time.Second)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.limits[modelSurge] = Limit{Rate: 3, Burst: 1, Version: 2}
		}},
	} {
		for _, instances := range []int{31, 300} {
			t.Run(fmt.Sprintf("%s/%d", c.name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newQuotaModel(instances, 1)
					if c.start != nil {
						c.start(m)
						time.Sleep(300 * time.Millisecond)
						m.begin = time.Now()
					} else {
						for i := range m.instances {
							m.start(i)
						}
					}
					if c.fault != nil {
						go func() {
							time.Sleep(modelUptime)
							c.fault(m)
						}()
					}
					m.run(&c)

					excess, tenant := m.excess(c.since)
					served, surging := m.served(modelUptime, modelEnd)
					t.Logf("at most %.2f of the bound (tenant %d), served %.4f within the allowances (surging tenant %.2f), %d messages a second", excess, tenant, served, surging, m.messagesPerSecond())
					if c.fault == nil && surging < 0.97 {
						t.Errorf("%.2f of the surging tenant's requests within its allowance served", surging)
					}
					if excess > 1 || served < c.served {
						t.Errorf("%.2f of the bound, %.4f served, want at most 1 and at least %.2f", excess, served, c.served)
					}
				})
			})
		}
	}
}

// Guards against messages whose number grows with the fleet and not with the requests.
func TestMessagesFollowTheRequests(t *testing.T) {
	for _, instances := range []int{31, 111, 870} {
		synctest.Test(t, func(t *testing.T) {
			m := newQuotaModel(instances, 1)
			for i := range m.instances {
				m.start(i)
			}
			m.run(&modelCase{})
			perSecond := m.messagesPerSecond()
			t.Logf("%d instances: %d messages a second, replies included", instances, perSecond)
			if perSecond > 400 {
				t.Errorf("%d instances send %d messages a second", instances, perSecond)
			}
		})
	}
}

// Guards against sums above the allowance when several faults meet.
func TestAllowancesHoldUnderManyFaults(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			m := newQuotaModel(31, seed)
			for i := range m.instances {
				m.start(i)
			}
			random := rand.New(rand.NewPCG(seed, 9))
			go func() {
				for time.Since(m.begin) < modelEnd-5*time.Second {
					time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
					m.breakSomething(random)
				}
			}()
			m.run(&modelCase{uneven: seed%2 == 0, retries: int(seed % 3), always: true})
			excess, tenant := m.excess(0)
			served, surging := m.served(0, modelEnd)
			t.Logf("seed %d: at most %.2f of the bound (tenant %d), served %.4f within the allowances (surging tenant %.2f)", seed, excess, tenant, served, surging)
			if excess > 1 {
				t.Errorf("seed %d: %.2f of the bound", seed, excess)
			}
		})
	}
}

// breakSomething breaks an instance or the network for some seconds.
func (m *quotaModel) breakSomething(random *rand.Rand) {
	d := time.Second + time.Duration(random.Int64N(int64(5*time.Second)))
	i := random.IntN(len(m.instances))
	if home := m.homeOf(i, modelName(modelSurge)); random.IntN(2) == 0 && home >= 0 {
		i = home
	}
	n := m.instances[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.frozen || n.down {
		return
	}
	disturb := func(n *modelInstance) { n.disturbedUntil = time.Now().Add(d) }
	switch random.IntN(4) {
	case 0:
		disturb(n)
		n.frozen, n.woken = true, make(chan struct{})
		time.AfterFunc(d, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			n.frozen = false
			close(n.woken)
		})
	case 1:
		disturb(n)
		n.down = true
		time.AfterFunc(d, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.startAlone(i)
		})
	case 2:
		part := 2 + random.IntN(3)
		for k, other := range m.instances {
			disturb(other)
			other.side = k % part
		}
		time.AfterFunc(d, func() {
			m.mu.Lock()
			for _, other := range m.instances {
				other.side = 0
			}
			m.mu.Unlock()
		})
	}
	side := random.IntN(3)
	m.notice(func(viewer, other int) bool {
		a, b := m.instances[viewer], m.instances[other]
		return viewer != other && (b.frozen || b.down || a.side != b.side || side == viewer%3 && other == i)
	})
	time.AfterFunc(d, func() {
		m.notice(func(viewer, other int) bool {
			a, b := m.instances[viewer], m.instances[other]
			return viewer != other && (b.frozen || b.down || a.side != b.side)
		})
	})
}
