package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var revocationRuns = flag.Int("revocation-runs", 15, "random runs of TestRevocationHoldsUnderRandomFaults")

// Guards against a request that runs with a key that was withdrawn longer than the bound
// ago, and against refusals of valid keys by undisturbed instances, under random faults of
// several instances and of the store at once.
func TestRevocationHoldsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(*revocationRuns) {
		synctest.Test(t, func(t *testing.T) {
			p := newKeyPlatform(t)
			m := &revocationModel{
				keyPlatform: p, t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
				withdrawnAt: make(map[string]time.Time), disturbedUntil: make(map[int]time.Time),
				suspensions: make(map[int]suspension),
			}
			m.rotateKeys()
			m.fleet = p.startKeyFleet(t, replicaInstances)
			for step := range 500 {
				if step%12 == 0 {
					m.injectFault()
				}
				if m.random.IntN(20) == 0 && time.Now().After(m.storeDownUntil) {
					m.rotateKeys()
				}
				time.Sleep(100 * time.Millisecond)
				m.check()
			}
		})
	}
}

// revocationModel injects faults and knows which keys are valid.
type revocationModel struct {
	*keyPlatform
	t      *testing.T
	seed   uint64
	random *rand.Rand
	fleet  []*Gateway
	// valid has the keys of the present version, and withdrawnAt when others were taken away.
	valid       []string
	withdrawnAt map[string]time.Time
	// suspensions has the last suspension of each instance.
	suspensions map[int]suspension
	// disturbedUntil is when the last fault of an instance ended, or of all as number 0.
	disturbedUntil map[int]time.Time
	storeDownUntil time.Time
	log            []string
}

// suspension is the time for which a machine was suspended at a moment of the bubble's clock.
type suspension struct {
	at     time.Time
	period time.Duration
}

// sinceWithdrawal returns how long ago a key was withdrawn, as an instance has to see it. The
// machines that it hears of after its return were not suspended with it, nor did the bubble's
// clock go on, so a suspension counts as long as the instance is cut off.
func (m *revocationModel) sinceWithdrawal(at time.Time, number int) time.Duration {
	m.network.mu.Lock()
	isolated := m.network.isolated[instanceHost(number)]
	m.network.mu.Unlock()
	gone := time.Since(at)
	if s := m.suspensions[number]; isolated && at.Before(s.at) {
		gone += s.period
	}
	return gone
}

// rotateKeys writes the next version, which adds one key and withdraws the oldest of two.
func (m *revocationModel) rotateKeys() {
	m.valid = append(m.valid, fmt.Sprintf("k%d", m.version))
	var gone []string
	if len(m.valid) > 3 {
		gone, m.valid = m.valid[:1], slices.Clone(m.valid[1:])
	}
	m.publishKeys(m.t, append([]string{"k-always"}, m.valid...)...)
	for _, key := range gone {
		m.withdrawnAt[key] = time.Now()
		m.note("%s was withdrawn", key)
	}
}

func (m *revocationModel) note(format string, arguments ...any) {
	m.log = append(m.log, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, arguments...))
}

func (m *revocationModel) disturb(number int, length time.Duration) {
	if until := time.Now().Add(length); until.After(m.disturbedUntil[number]) {
		m.disturbedUntil[number] = until
	}
}

func (m *revocationModel) injectFault() {
	number := 1 + m.random.IntN(len(m.fleet))
	length := time.Duration(500+m.random.IntN(9000)) * time.Millisecond
	kind := m.random.IntN(7)
	m.note("fault %d at instance %d for %v", kind, number, length)
	host := instanceHost(number)
	switch kind {
	case 0, 1:
		m.network.isolate(host)
		m.disturb(number, length)
		time.AfterFunc(length, func() { m.network.rejoin(host) })
		if kind == 1 {
			// The machine is suspended as well; the runtime's clock does not count that.
			m.suspended[number].Add(int64(10 * length))
			m.suspensions[number] = suspension{time.Now(), 10 * length}
		}
	case 2:
		m.network.silenceOpenConnections()
		m.disturb(0, 0)
	case 3:
		m.store.RefuseCaller(host, length)
	case 4:
		m.store.Compact(time.Second)
	case 5:
		m.store.StartOutage(length, false, false)
		m.storeDownUntil = time.Now().Add(length)
		m.disturb(0, length)
	case 6:
		m.store.SlowDown(118*time.Millisecond, length)
	}
}

func (m *revocationModel) check() {
	for i, g := range m.fleet {
		for key, at := range m.withdrawnAt {
			if gone := m.sinceWithdrawal(at, i+1); gone > revokeBound && gone < 30*time.Second && callWithKeys(g, "/a/", key).Code == http.StatusOK {
				m.t.Fatalf("seed %d, %s: instance %d runs a request with %s, withdrawn %v ago, proof age %v\n%s", m.seed, time.Now().Format("04:05.000"), i+1, key, gone, g.fence.Age(), strings.Join(m.log, "\n"))
			}
		}
		if time.Since(m.disturbedUntil[i+1]) < recoveryPeriod || time.Since(m.disturbedUntil[0]) < recoveryPeriod {
			continue
		}
		if got := callWithKeys(g, "/a/", "k-always").Code; got != http.StatusOK {
			m.t.Fatalf("seed %d, %s: instance %d: status %d for a valid key, proof age %v\n%s", m.seed, time.Now().Format("04:05.000"), i+1, got, g.fence.Age(), strings.Join(m.log, "\n"))
		}
	}
}
