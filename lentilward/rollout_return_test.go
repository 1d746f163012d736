package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// modelCopy is a copy of the store of the model.
type modelCopy struct {
	records  map[string]mirror.Record
	revision uint64
	statuses int
}

func (m *rolloutModel) takeCopy() modelCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return modelCopy{maps.Clone(m.store), m.revision, len(m.statuses)}
}

// returnFrom lets the store come back from a copy, and writes an order that the copy does not
// have again a second later.
func (m *rolloutModel) returnFrom(c modelCopy) {
	orderKey := platform.RolloutOrderPrefix + rolledService
	m.mu.Lock()
	order := m.store[orderKey]
	m.era++
	m.store, m.revision, m.statuses = maps.Clone(c.records), c.revision, m.statuses[:c.statuses]
	for key, r := range m.store {
		r.Era = m.era
		m.store[key] = r
	}
	isLost := m.store[orderKey].Revision != order.Revision
	for _, i := range m.instances {
		i.deliver(mirror.Record{Era: m.era}, 200*time.Millisecond+time.Duration(i.number%5)*100*time.Millisecond)
	}
	m.mu.Unlock()
	time.Sleep(time.Second)
	if isLost {
		m.count(func() { m.put(orderKey, order.Value) })
	}
}

// list takes over all records of another era of the store.
func (i *rolloutInstance) list(runner *rolloutRunner) {
	i.m.mu.Lock()
	var records []mirror.Record
	for _, r := range i.m.store {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b mirror.Record) int { return cmp.Compare(a.Key, b.Key) })
	for _, key := range []string{platform.RolloutRecordPrefix + rolledService, platform.RolloutOrderPrefix + rolledService} {
		if _, found := i.m.store[key]; !found {
			records = append(records, mirror.Record{Key: key, Revision: i.m.revision, Deleted: true, Era: i.m.era})
		}
	}
	i.m.mu.Unlock()
	for _, r := range records {
		runner.applyRecord(r, time.Now(), time.Now())
	}
}

// Guards against a bad version that gets requests again, or more of them than the bound,
// because the store has come back from a copy in which the rollout was not over yet, had had
// fewer requests, or was not ordered.
func TestBadVersionStaysWithinBoundsAfterStoreReturned(t *testing.T) {
	for name, play := range map[string]struct {
		// copied is when the copy is taken after the order; 0 for before it.
		copied time.Duration
		// ends is set if the rollout is over before the store returns.
		ends bool
	}{
		"running":                  {2 * time.Second, false},
		"rolled back":              {2 * time.Second, true},
		"running, not ordered":     {0, false},
		"rolled back, not ordered": {0, true},
	} {
		for _, returns := range []int{1, 2} {
			t.Run(name, func(t *testing.T) {
				runModel(t, 26, func(m *rolloutModel) {
					m.behaveAs(badVersions["later"])
					older := m.takeCopy()
					m.order("v2", 12*time.Second)
					if play.copied > 0 {
						time.Sleep(play.copied)
						older = m.takeCopy()
					}
					time.Sleep(1500 * time.Millisecond)
					if play.ends {
						m.awaitRecord(domain.RolloutRolledBack)
						time.Sleep(time.Second)
					}
					before := m.callsOf("v2")
					for range returns {
						m.returnFrom(older)
					}
					time.Sleep(13*time.Second - time.Since(m.ordered))
					m.want("rolled_back")
					m.wantBounds()
					if after := m.callsOf("v2"); play.ends && after != before {
						t.Errorf("%d calls to the version that was rolled back", after-before)
					}
				})
			})
		}
	}
}

// Guards against requests that go back to the old servers, which may have been stopped,
// because the store has come back from a copy in which the rollout was not completed or not
// ordered yet, and against a status that is not written again.
func TestGoodVersionStaysInUseAfterStoreReturned(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		for _, returns := range []int{1, 2} {
			t.Run(fmt.Sprintf("ordered=%v/%d", ordered, returns), func(t *testing.T) {
				runModel(t, 26, func(m *rolloutModel) {
					m.behaveAs(nil)
					older := m.takeCopy()
					m.order("v2", 12*time.Second)
					time.Sleep(2 * time.Second)
					if ordered {
						older = m.takeCopy()
					}
					m.awaitRecord(domain.RolloutCompleted)
					time.Sleep(2 * time.Second)
					before := m.callsOf("v1")
					for range returns {
						m.returnFrom(older)
					}
					time.Sleep(5 * time.Second)
					m.want("completed")
					if after := m.callsOf("v1"); after != before || m.cut > 0 {
						t.Errorf("%d calls to the old servers after the end, %d cut", after-before, m.cut)
					}
				})
			})
		}
	}
}

// Guards against an order that is taken for an earlier one of another era, since the store
// has given it the same revision.
func TestOrderAtRevisionOfEarlierEraIsCarriedOut(t *testing.T) {
	for name, first := range map[string]func(*rolloutModel, modelCall) (time.Duration, bool){"completed": nil, "rolled back": badVersions["at once"]} {
		t.Run(name, func(t *testing.T) {
			runModel(t, 26, func(m *rolloutModel) {
				m.behaveAs(first)
				older := m.takeCopy()
				m.order("v2", 12*time.Second)
				time.Sleep(11500 * time.Millisecond)
				m.behaveAs(nil)
				m.count(func() {
					m.era++
					m.store, m.revision, m.statuses = maps.Clone(older.records), older.revision, nil
				})
				m.order("v2", 13*time.Second)
				time.Sleep(12500 * time.Millisecond)
				m.want("completed")
			})
		})
	}
}

// Guards against whole instances that send requests to the old servers again, or report
// nothing, after the store has come back from a copy from before the order or from during the
// rollout.
func TestWholeInstancesKeepRolloutAfterStoreReturned(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		t.Run(fmt.Sprintf("ordered=%v", ordered), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				p.configure = func(o *Options) {
					o.Rollouts.ExposureShare, o.Rollouts.ExposureSlack, o.Rollouts.Rollback = 0.1, 50, duration(5*time.Second)
				}
				if _, err := p.client.Commit(p.ctx, nil, nil, []string{standin.ServerKey("i-1")}); err != nil {
					t.Fatal(err)
				}
				v := &versionedServers{p: p, calls: make(map[string]*atomic.Int32)}
				v.startVersion(t, "s1", "v1", 1, 0)
				v.startVersion(t, "s1", "v2", 2, 0)
				p.publishRoutes(t, 1, "/")
				var instances []*Gateway
				for n := range 3 {
					instances = append(instances, p.startInstance(t, n+1, netip.MustParseAddrPort("10.0.0.1:8102")))
				}
				time.Sleep(8 * time.Second)
				failed, end := atomic.Int32{}, time.Now().Add(30*time.Second)
				go func() {
					for time.Now().Before(end) {
						time.Sleep(25 * time.Millisecond)
						go func() {
							if statusOf(instances[rand.IntN(3)], "/x") != http.StatusOK {
								failed.Add(1)
							}
						}()
					}
				}()
				time.Sleep(time.Second)
				order := func() { p.write(t, "op/rollout/s1", `{"service":"s1","targetVersion":"v2","durationS":12}`) }
				older := p.store.TakeCopy()
				order()
				if ordered {
					time.Sleep(3 * time.Second)
					older = p.store.TakeCopy()
				}
				time.Sleep(13 * time.Second)
				before, used := v.calls["s1v1"].Load(), v.calls["s1v2"].Load()
				p.returnFrom(older)
				time.Sleep(rewriteDelay)
				if !ordered {
					order()
				}
				time.Sleep(8 * time.Second)
				item, err := p.client.Get(p.ctx, "status/rollout/s1")
				if err != nil || !strings.Contains(string(item.Value), "completed") {
					t.Errorf("status %s, want completed, error %v", item.Value, err)
				}
				if n := v.calls["s1v1"].Load() - before; n > 0 || failed.Load() > 2 {
					t.Errorf("%d calls to the old servers after the end, %d to the new ones, %d requests failed", n, v.calls["s1v2"].Load()-used, failed.Load())
				}
			})
		})
	}
}
