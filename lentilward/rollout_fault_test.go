package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilward.org/schema/domain"
)

// controller returns the instance that controls the rollout; nil if none does.
func (m *rolloutModel) controller() *rolloutInstance {
	for _, i := range m.instances {
		runner := i.current()
		runner.mu.Lock()
		c := runner.controllers[rolledService]
		controls := c != nil && !c.lost
		runner.mu.Unlock()
		if controls && !i.isDead() {
			return i
		}
	}
	return nil
}

// kill ends the process of an instance.
func (i *rolloutInstance) kill() {
	i.m.count(func() { i.dead = true })
	i.stop()
}

func (i *rolloutInstance) isDead() bool {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	return i.dead
}

// restart starts the instance again, which finds the servers of these versions.
func (i *rolloutInstance) restart(versions ...string) {
	i.start()
	i.setServers(versions...)
}

// awaitRecord waits until the record has a state.
func (m *rolloutModel) awaitRecord(state domain.RolloutState) {
	m.t.Helper()
	for range 2000 {
		time.Sleep(10 * time.Millisecond)
		for _, i := range m.instances {
			if s := i.current().local.Find(rolledService); !i.isDead() && s.State().Record.State == state {
				return
			}
		}
	}
	m.t.Fatalf("the record did not get the state %q", state)
}

// Guards against a rollout that nobody ends, or ends wrongly, because its controller was
// lost: before its first write, while it runs, and while the traffic moves.
func TestControllerIsLostInEachStep(t *testing.T) {
	steps := map[string]func(m *rolloutModel){
		"before the first write": func(*rolloutModel) { time.Sleep(20 * time.Millisecond) },
		"running":                func(*rolloutModel) { time.Sleep(3 * time.Second) },
		"under load":             func(*rolloutModel) { time.Sleep(6 * time.Second) },
		"moving": func(m *rolloutModel) {
			if m.target == "v2" {
				m.awaitRecord(domain.RolloutMoving)
			}
		},
	}
	for name, await := range steps {
		t.Run("good, "+name, func(t *testing.T) {
			runModel(t, 26, func(m *rolloutModel) {
				m.behaveAs(nil)
				m.order("v2", 12*time.Second)
				await(m)
				m.killController()
				time.Sleep(12*time.Second - time.Since(m.ordered))
				m.want("completed")
				if m.cut > 0 {
					t.Errorf("%d calls were cut", m.cut)
				}
			})
		})
		if name == "moving" {
			continue
		}
		t.Run("bad, "+name, func(t *testing.T) {
			runModel(t, 26, func(m *rolloutModel) {
				m.behaveAs(badVersions["later"])
				m.order("v2", 12*time.Second)
				await(m)
				m.killController()
				time.Sleep(12*time.Second - time.Since(m.ordered))
				m.want("rolled_back")
				m.wantBounds()
			})
		})
	}
}

// killController kills the instance that controls the rollout, or will.
func (m *rolloutModel) killController() {
	c := m.controller()
	for _, i := range m.instances {
		if c == nil && i.members().Rank("rollout/"+rolledService) == 0 {
			c = i
		}
	}
	c.kill()
}

// Guards against two controllers that go on both, where the first is cut off from all
// others and from the store for a time: the sum of what they hand out must stay within the
// bound.
func TestTwoControllersStayWithinTheBound(t *testing.T) {
	for _, good := range []bool{true, false} {
		t.Run(fmt.Sprint("good=", good), func(t *testing.T) {
			runModel(t, 26, func(m *rolloutModel) {
				if good {
					m.behaveAs(nil)
				} else {
					m.behaveAs(badVersions["later"])
				}
				m.order("v2", 12*time.Second)
				time.Sleep(2 * time.Second)
				first := m.controller()
				m.count(func() { first.cutOff = true })
				time.Sleep(4 * time.Second)
				m.count(func() { first.cutOff = false })
				time.Sleep(6 * time.Second)
				if good {
					m.want("completed")
				} else {
					m.want("rolled_back")
					m.wantBounds()
				}
			})
		})
	}
}

// Guards against instances that go on sending requests to a new version while they can't
// reach the controller.
func TestInstancesThatAreCutOffStayWithinTheBound(t *testing.T) {
	for _, instances := range []int{26, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runModel(t, instances, func(m *rolloutModel) {
				m.behaveAs(badVersions["later"])
				m.order("v2", 12*time.Second)
				time.Sleep(3 * time.Second)
				for n, i := range m.instances {
					if n%2 == 0 {
						m.count(func() { i.cutOff = true })
					}
				}
				time.Sleep(9 * time.Second)
				m.wantBounds()
				if s := m.status(); s == "completed" {
					t.Errorf("status %q", s)
				}
				before := m.callsOf("v2")
				time.Sleep(5 * time.Second)
				if after := m.callsOf("v2"); after != before {
					t.Errorf("%d calls to the new version after the deadline", after-before)
				}
			})
		})
	}
}

// Guards against a bad version that gets requests because the store is not available
// between the verdict and the status, and a status that is not written afterwards.
func TestStoreIsAwayBetweenVerdictAndStatus(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent=", silent), func(t *testing.T) {
			runModel(t, 26, func(m *rolloutModel) {
				m.behaveAs(badVersions["later"])
				m.order("v2", 12*time.Second)
				time.Sleep(3900 * time.Millisecond)
				m.count(func() { m.storeDown, m.storeSilent = !silent, silent })
				time.Sleep(6 * time.Second)
				before := m.callsOf("v2")
				time.Sleep(4 * time.Second)
				if after := m.callsOf("v2"); after != before {
					t.Errorf("%d calls while the store was away", after-before)
				}
				m.wantBounds()
				m.count(func() { m.storeDown, m.storeSilent = false, false })
				time.Sleep(4 * time.Second)
				m.want("rolled_back")
			})
		})
	}
}

// Guards against a version that turns bad while the traffic moves and the store does not
// answer: peers must learn of it without the store.
func TestStoreIsSilentWhileMoving(t *testing.T) {
	runModel(t, 26, func(m *rolloutModel) {
		var movingAt time.Duration
		m.behaveAs(func(_ *rolloutModel, c modelCall) (time.Duration, bool) {
			return normalTime, movingAt > 0 && c.sinceOrder > movingAt && rand.IntN(2) == 0
		})
		m.order("v2", 12*time.Second)
		m.awaitRecord(domain.RolloutMoving)
		m.count(func() { movingAt, m.storeSilent = time.Since(m.ordered), true })
		time.Sleep(3 * time.Second)
		before := m.callsOf("v2")
		time.Sleep(6 * time.Second)
		if after := m.callsOf("v2"); after != before {
			t.Errorf("%d calls 3 s after the version turned bad", after-before)
		}
		m.count(func() { m.storeSilent = false })
		time.Sleep(5 * time.Second)
		m.want("rolled_back")
	})
}

// Guards against a rollout that hangs because the store loses the answers to writes that
// it has made.
func TestStoreLosesAnswers(t *testing.T) {
	runModel(t, 4, func(m *rolloutModel) {
		m.behaveAs(nil)
		m.order("v2", 12*time.Second)
		time.Sleep(time.Second)
		m.count(func() { m.loseAnswers = true })
		time.Sleep(2 * time.Second)
		m.count(func() { m.loseAnswers = false })
		time.Sleep(9 * time.Second)
		m.want("completed")
	})
}

// Guards against an order that goes on after another has replaced it, with another version
// or with the same one again.
func TestOrderIsReplaced(t *testing.T) {
	for _, second := range []string{"v2", "v3"} {
		t.Run(second, func(t *testing.T) {
			runModel(t, 26, func(m *rolloutModel) {
				m.behaveAs(nil)
				m.order("v2", 12*time.Second)
				time.Sleep(5 * time.Second)
				m.order(second, 12*time.Second)
				time.Sleep(time.Second)
				before := m.callsOf("v2")
				time.Sleep(10500 * time.Millisecond)
				m.want("completed")
				if after := m.callsOf("v2"); second != "v2" && after != before {
					t.Errorf("%d calls to the version of the first order", after-before)
				}
			})
		})
	}
}

// Guards against a version that can't be ordered again after it was rolled back, once it
// is mended.
func TestSameVersionIsOrderedAgainAfterRollback(t *testing.T) {
	runModel(t, 26, func(m *rolloutModel) {
		m.behaveAs(badVersions["at once"])
		m.order("v2", 12*time.Second)
		time.Sleep(8 * time.Second)
		m.want("rolled_back")
		m.behaveAs(nil)
		m.order("v2", 12*time.Second)
		time.Sleep(11500 * time.Millisecond)
		m.want("completed")
	})
}

// Guards against instances that forget the state of a rollout when they restart: while it
// runs, and after it was completed or rolled back.
func TestRestartedInstancesFollowTheRecord(t *testing.T) {
	for _, good := range []bool{true, false} {
		t.Run(fmt.Sprint("good=", good), func(t *testing.T) {
			runModel(t, 26, func(m *rolloutModel) {
				if good {
					m.behaveAs(nil)
				} else {
					m.behaveAs(badVersions["later"])
				}
				m.order("v2", 12*time.Second)
				time.Sleep(3 * time.Second)
				for _, i := range m.instances[:13] {
					i.kill()
					i.restart("v1", "v1", "v1", "v2", "v2", "v2")
				}
				time.Sleep(9 * time.Second)
				other, versions := "v1", []string{"v1", "v2", "v2", "v2"}
				if good {
					m.want("completed")
				} else {
					m.want("rolled_back")
					m.wantBounds()
					other, versions = "v2", []string{"v1", "v1", "v2", "v2", "v2"}
				}
				for _, i := range m.instances {
					i.kill()
					i.restart(versions...)
				}
				before := m.callsOf(other)
				time.Sleep(5 * time.Second)
				if after := m.callsOf(other); after != before {
					t.Errorf("%d calls to %s after all instances were restarted", after-before, other)
				}
			})
		})
	}
}

// Guards against requests on servers that appear before their order is known, and against
// calls that are not served when servers of the present version drain meanwhile.
func TestServersThatAppearBeforeTheirOrderGetNothing(t *testing.T) {
	runModel(t, 4, func(m *rolloutModel) {
		m.behaveAs(nil)
		m.setServers("v1", "v1", "v1", "v2", "v2", "v2")
		time.Sleep(2 * time.Second)
		m.setServers("v1", "v1", "v2", "v2", "v2")
		time.Sleep(1500 * time.Millisecond)
		if n := m.callsOf("v2"); n > 0 {
			t.Errorf("%d calls before the order", n)
		}
		m.count(func() {
			if m.failures > 0 {
				t.Errorf("%d requests failed", m.failures)
			}
		})
	})
}

// Guards against a service that stands still, or is judged good, where few requests come.
func TestFewRequests(t *testing.T) {
	for _, good := range []bool{true, false} {
		t.Run(fmt.Sprint("good=", good), func(t *testing.T) {
			runModel(t, 1, func(m *rolloutModel) {
				wanted, n := "completed", 0
				if good {
					m.behaveAs(nil)
				} else {
					wanted = "rolled_back"
					m.behaveAs(badVersions["all fail"])
				}
				// Of 40 requests a second 1.6 are sent.
				m.count(func() { m.sample = func() bool { n++; return n%25 == 0 } })
				m.order("v2", 12*time.Second)
				time.Sleep(12 * time.Second)
				m.want(wanted)
				if !good {
					m.wantBounds()
				}
			})
		})
	}
}

// Guards against a version that is completed although it turns bad while the traffic moves
// to it.
func TestVersionThatTurnsBadWhileMovingIsRolledBack(t *testing.T) {
	runModel(t, 26, func(m *rolloutModel) {
		var movingAt time.Duration
		m.behaveAs(func(_ *rolloutModel, c modelCall) (time.Duration, bool) {
			return normalTime, movingAt > 0 && c.sinceOrder > movingAt && rand.IntN(2) == 0
		})
		m.order("v2", 12*time.Second)
		m.awaitRecord(domain.RolloutMoving)
		m.count(func() { movingAt = time.Since(m.ordered) })
		time.Sleep(12*time.Second - time.Since(m.ordered))
		m.want("rolled_back")
		before := m.callsOf("v2")
		time.Sleep(5 * time.Second)
		if after := m.callsOf("v2"); after != before {
			t.Errorf("%d calls after the rollback", after-before)
		}
	})
}
