package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() { cases["quota"] = runQuota }

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
	// tenantRate and tenantBurst are the allowance of the tenant, and tenantName a name whose
	// allowance the last of the instances keeps.
	tenantRate, tenantBurst = 200.0, 10.0
	tenantName              = "t-2"
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the site.
	quotaWindow              = 5 * time.Second
	quotaOverage, quotaSlack = 0.1, 20.0
	// hotFactor is how many times its allowance the tenant sends, over hotCallers connections.
	hotFactor  = 2
	hotCallers = 1600
	// stopAfter is when the instance stops, and observedAfter how long the traffic goes on.
	stopAfter, observedAfter = 10 * time.Second, 8 * time.Second
)

// runQuota shows that a tenant gets more than its allowance while the instance that keeps
// the allowance stops as planned.
func runQuota(s *site) (bool, error) {
	const host, prefix, key = "loba75.example", "/inspekcija/", "k-51"
	s.store.configure(configuration{
		Version:  7,
		Routes:   []route{{Name: "r-1", Host: host, Prefix: prefix, Kind: "safe", Service: "fiwu23c", Timeout: 5 * time.Second, Target: time.Second}},
		Services: []service{{Name: "fiwu23c", Connections: 520}},
		Tenants:  []tenant{{Name: tenantName, Key: key, Rate: tenantRate, Burst: tenantBurst}},
	})
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
	if err := s.awaitRotation(15 * time.Second); err != nil {
		return false, err
	}
	// Traffic starts 14 s after the machines.
	time.Sleep(12 * time.Second)
	started := time.Now()
	if s.trouble {
		time.AfterFunc(stopAfter, func() {
			i := s.instances[len(s.instances)-1]
			i.signal(syscall.SIGTERM)
			select {
			case <-i.ended:
			case <-time.After(6 * time.Second):
				i.kill()
			}
			time.Sleep(300 * time.Millisecond)
			if err := i.start(); err != nil {
				s.record.note("starting an instance again failed: %v", err)
			}
		})
	}
	sent := s.traffic(hotCallers, hotFactor*tenantRate, stopAfter+observedAfter, func(n int) (string, requestSpec) {
		return "hot", requestSpec{
			method: "GET", host: host, target: fmt.Sprintf("%sd%d", prefix, n), deadline: 5 * time.Second, header: map[string]string{"x-api-key": key},
		}
	})
	return s.checkQuota(sent, started)
}

// arrival is a request that a server has run.
type arrival struct {
	sent, ran time.Time
	instance  string
}

// checkQuota finds the window in which most requests were sent and have arrived at a server
// that ran them, and reports whether these are within the bound.
func (s *site) checkQuota(sent []*sentRequest, started time.Time) (bool, error) {
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
	bound := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
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
