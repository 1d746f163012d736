package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["poison"] = runPoison }

const (
	// poisonRounds is how often the caller sends the request that crashes servers, each
	// poisonInterval.
	poisonRounds   = 8
	poisonInterval = 4500 * time.Millisecond
	// leaveAfter is when the caller leaves: as { kind = "give_up" } of the site, within half
	// of the objective of 400 ms.
	leaveAfter = 100 * time.Millisecond
	// leafDowntime is how long a server is down after a crash.
	leafDowntime = 3 * time.Second
	// stableWindow is stableWindowMs of the site, and maxLateRuns the retries that may reach
	// servers later than that after the third crash.
	stableWindow = 4 * time.Second
	maxLateRuns  = 3
)

// runPoison shows that a request that crashes servers reaches them again and again if its
// caller leaves before they crash.
func runPoison(s *site) (bool, error) {
	const host, prefix = "loba75.example", "/baxa442/"
	s.store.configure(configuration{
		Version:  7,
		Routes:   []route{{Name: "r-1", Host: host, Prefix: prefix, Kind: "safe", Service: "fiwu23c", Timeout: 6 * time.Second, Target: 400 * time.Millisecond}},
		Services: []service{{Name: "fiwu23c", Connections: 40}},
	})
	zones := []string{"zrh-a", "zrh-a", "zrh-b", "zrh-c"}
	ended := make(chan struct{})
	var crashes []time.Time
	var mu sync.Mutex
	for n := range 7 {
		settings := leafSettings{
			Service: "fiwu23c", Zone: zones[n%len(zones)], Slots: 3, Queue: 16, Work: 90 * time.Millisecond, Address: freeAddress(), Crash: prefix + "2f",
		}
		start := func(generation int) (*leafProcess, error) {
			settings.ID = fmt.Sprintf("i-%d-%d", n, generation)
			return s.startLeaf(settings)
		}
		l, err := start(0)
		if err != nil {
			return false, err
		}
		go func() {
			for generation := 1; ; generation++ {
				select {
				case <-ended:
					return
				case <-l.ended:
				}
				mu.Lock()
				crashes = append(crashes, l.endedAt)
				mu.Unlock()
				s.record.note("server %s has crashed", l.settings.ID)
				time.Sleep(leafDowntime)
				if l, err = start(generation); err != nil {
					s.record.note("starting a server again failed: %v", err)
					return
				}
			}
		}()
	}
	if err := s.startInstances(deployment{zones: zones, memoryMB: []int{414, 414, 544, 284}}); err != nil {
		return false, err
	}
	if err := s.awaitRotation(15 * time.Second); err != nil {
		return false, err
	}
	// Traffic starts 10 s after the machines.
	time.Sleep(8 * time.Second)
	var poison []*attempt
	var pending sync.WaitGroup
	leave := 6 * time.Second
	if s.trouble {
		leave = leaveAfter
	}
	started := time.Now()
	for round := range poisonRounds {
		time.AfterFunc(time.Duration(round)*poisonInterval, func() {
			// A retry reaches another instance.
			i := s.instances[round%len(s.instances)]
			pending.Go(func() {
				a := s.newCaller(0).tryUntil(requestSpec{method: "GET", host: host, target: prefix + "2f"}, i, 6*time.Second, leave, true)
				mu.Lock()
				defer mu.Unlock()
				poison = append(poison, a)
			})
		})
	}
	length := time.Duration(poisonRounds) * poisonInterval
	sent := s.traffic(20, 10, length, func(n int) (string, requestSpec) {
		return "other", requestSpec{method: "GET", host: host, target: fmt.Sprintf("%sd%d", prefix, n), deadline: 6 * time.Second, retries: 1}
	})
	time.Sleep(time.Until(started.Add(length)))
	pending.Wait()
	close(ended)
	requests, served := servedShare(sent, "", 0, length)
	s.record.note("other requests: %d, served: %d", requests, served)
	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(crashes, func(a, b time.Time) int { return a.Compare(b) })
	s.record.note("attempts of the request: %d, crashes of servers: %d", len(poison), len(crashes))
	if len(crashes) < 3 {
		return false, fmt.Errorf("the request has crashed %d servers, want 3 at least", len(crashes))
	}
	late := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range poison {
		if slices.ContainsFunc(s.runs[a.id], func(r run) bool { return r.at.After(crashes[2].Add(stableWindow)) }) {
			late++
		}
	}
	s.record.note("retries that have reached servers later than stableWindowMs after the third crash: %d, allowed: %d", late, maxLateRuns)
	return late <= maxLateRuns, nil
}
