package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["quota-stop"] = runQuotaStop
	cases["quota-kill"] = runQuotaKill
}

// quotaBounds are the bounds of the site evidencija-trazilica-grown, as deploy/settings.toml
// states them.
const quotaBounds = `[repeats]
ratio = 0.2
slack = 194
window = "10s"
[stop]
grace = "6s"
[revocation]
within = "5000ms"
[quota]
window = "5s"
overage = 0.1
slack = 20
[pace]
enabled = true
`

const (
	// tenantBurst is the burst of the tenant's allowance.
	tenantBurst = 10.0
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the site.
	quotaWindow              = 5 * time.Second
	quotaOverage, quotaSlack = 0.1, 20.0
	// disturbAfter is when the disruption comes, and observedAfter how long the traffic goes on.
	disturbAfter, observedAfter = 10 * time.Second, 8 * time.Second
	// restartDelay is the time until the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
)

// runQuotaStop shows that a tenant gets more than its allowance while the instance that
// keeps the allowance stops as planned.
func runQuotaStop(s *site) (bool, error) {
	return s.runQuota(quotaCase{keeper: 3, starting: 1, rate: 200, factor: 2, callers: 1600, disturb: func() {
		i := s.instances[3]
		i.signal(syscall.SIGTERM)
		select {
		case <-i.ended:
		case <-time.After(6 * time.Second):
			i.kill()
		}
		i.restart()
	}})
}

// runQuotaKill shows that a tenant gets more than its allowance after an instance has
// started again that takes itself for the one that keeps the allowance.
func runQuotaKill(s *site) (bool, error) {
	return s.runQuota(quotaCase{keeper: 3, starting: 0, rate: 300, factor: 1.9, callers: 100, disturb: func() {
		i := s.instances[0]
		i.kill()
		i.restart()
	}})
}

// restart starts the process again.
func (i *instance) restart() {
	time.Sleep(restartDelay)
	if err := i.start(); err != nil {
		i.site.record.note("starting an instance again failed: %v", err)
	}
}

// quotaCase is a tenant that sends more than its allowance, and a disruption.
type quotaCase struct {
	// keeper is the number of the instance that keeps the allowance, and starting that of the
	// one that would while all instances have just started.
	keeper, starting int
	// rate is the allowance in requests a second, and factor how many times that the tenant
	// sends, over callers connections.
	rate, factor float64
	callers      int
	disturb      func()
}

func (s *site) runQuota(c quotaCase) (bool, error) {
	const host, prefix, key = "loba75.example", "/inspekcija/", "k-51"
	zones := []string{"zagreb-a", "zagreb-a", "zagreb-b", "osijek"}
	for n := range 6 {
		settings := leafSettings{
			ID: fmt.Sprintf("i-%d", n), Service: "fiwu23c", Zone: zones[n%len(zones)], Slots: 10, Queue: 40, Work: 10 * time.Millisecond, Address: freeAddress(),
		}
		if _, err := s.startLeaf(settings); err != nil {
			return false, err
		}
	}
	if err := s.startInstances(deployment{zones: zones, memoryMB: []int{408, 408, 536, 408}, bounds: quotaBounds}); err != nil {
		return false, err
	}
	s.store.configure(configuration{
		Version:  7,
		Routes:   []route{{Name: "r-1", Host: host, Prefix: prefix, Kind: "safe", Service: "fiwu23c", Timeout: 5 * time.Second, Target: time.Second}},
		Services: []service{{Name: "fiwu23c", Connections: 520}},
		Tenants:  []tenant{{Name: s.pickTenant(c.keeper, c.starting), Key: key, Rate: c.rate, Burst: tenantBurst}},
	})
	if err := s.awaitRotation(15 * time.Second); err != nil {
		return false, err
	}
	// Traffic starts 14 s after the machines.
	time.Sleep(12 * time.Second)
	started := time.Now()
	if s.trouble {
		time.AfterFunc(disturbAfter, c.disturb)
	}
	sent := s.traffic(c.callers, c.factor*c.rate, disturbAfter+observedAfter, func(n int) (string, requestSpec) {
		return "hot", requestSpec{
			method: "GET", host: host, target: fmt.Sprintf("%sd%d", prefix, n), deadline: 5 * time.Second, header: map[string]string{"x-api-key": key},
		}
	})
	return s.checkQuota(sent, c.rate, started)
}

// arrival is a request that a server has run.
type arrival struct {
	sent, ran time.Time
	instance  string
}

// checkQuota finds the window in which most requests were sent and have arrived at a server
// that ran them, and reports whether these are within the bound.
func (s *site) checkQuota(sent []*sentRequest, rate float64, started time.Time) (bool, error) {
	var arrivals []arrival
	s.mu.Lock()
	for _, r := range sent {
		for _, a := range r.attempts {
			for _, run := range s.runs[a.id] {
				arrivals = append(arrivals, arrival{a.sentAt, run.at, a.instance})
				break
			}
		}
	}
	s.mu.Unlock()
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.sent.Compare(b.sent) })
	bound := (rate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	count := func(from time.Time) (n int, byInstance map[string]int) {
		byInstance = map[string]int{}
		first, _ := slices.BinarySearchFunc(arrivals, from, func(a arrival, t time.Time) int { return a.sent.Compare(t) })
		for _, a := range arrivals[first:] {
			if a.sent.Sub(from) > quotaWindow {
				break
			}
			if a.ran.Sub(from) <= quotaWindow {
				n++
				byInstance[a.instance]++
			}
		}
		return n, byInstance
	}
	most, mostFrom := 0, time.Time{}
	for i := 0; i < len(arrivals); i += 5 {
		if n, _ := count(arrivals[i].sent); n > most {
			most, mostFrom = n, arrivals[i].sent
		}
	}
	s.record.note("requests: %d, run: %d", len(sent), len(arrivals))
	if most == 0 {
		return false, fmt.Errorf("no request has run")
	}
	_, byInstance := count(mostFrom)
	s.record.note("most in a window of %v, from %v: %d, allowed: %.0f, by instance %v", quotaWindow, mostFrom.Sub(started).Round(time.Millisecond), most, bound,
		strings.TrimPrefix(fmt.Sprint(byInstance), "map"))
	return float64(most) <= bound, nil
}
