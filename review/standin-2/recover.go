package main

import (
	"fmt"
	"time"
)

func init() { cases["recover"] = runRecover }

const (
	// crashAt is when all servers of the service crash, and crashLength how long they are
	// down: as { kind = "srv_crash", how = "all", for_s = 4.5 } of the site.
	crashAt     = 8 * time.Second
	crashLength = 4500 * time.Millisecond
	// finalAt is when all instances are killed, and finalDown how long they are down: the
	// final fault.
	finalAt   = 20 * time.Second
	finalDown = 770 * time.Millisecond
	// recoveryBound is recoveryS of the site.
	recoveryBound = 12 * time.Second
	// observed is how long the requests after recoveryBound are counted.
	observed = 8 * time.Second
)

// runRecover shows that a document that many callers open stays refused after a crash of
// the servers that are back, and after a restart of all instances.
func runRecover(s *site) (bool, error) {
	const host, prefix = "pupu76.example", "/timi402/"
	s.store.configure(configuration{
		Version:  7,
		Routes:   []route{{Name: "r-s4qmv29", Host: host, Prefix: prefix, Kind: "safe", Service: "kafi81c", Timeout: 8 * time.Second, Target: 800 * time.Millisecond}},
		Services: []service{{Name: "kafi81c", Connections: 96}},
	})
	zones := []string{"trd-a", "trd-a", "trd-b", "trd-c"}
	startLeafs := func(generation int) ([]*leafProcess, error) {
		var started []*leafProcess
		for n := range 6 {
			settings := leafSettings{
				ID: fmt.Sprintf("i-%02d-%d", n, generation), Service: "kafi81c", Zone: zones[n%len(zones)], Slots: 4, Queue: 16, Work: 220 * time.Millisecond,
			}
			if settings.Address = freeAddress(); generation > 0 {
				settings.Address = s.leafs[n].settings.Address
			}
			l, err := s.startLeaf(settings)
			if err != nil {
				return nil, err
			}
			started = append(started, l)
		}
		return started, nil
	}
	leafs, err := startLeafs(0)
	if err != nil {
		return false, err
	}
	if err := s.startInstances(deployment{zones: zones, memoryMB: []int{414, 414, 544, 284}}); err != nil {
		return false, err
	}
	if err := s.awaitRotation(15 * time.Second); err != nil {
		return false, err
	}
	// Traffic starts 10 s after the machines.
	time.Sleep(8 * time.Second)
	if s.trouble {
		time.AfterFunc(crashAt, func() {
			s.record.note("all servers of the service crash")
			for _, l := range leafs {
				l.command.Process.Kill()
			}
		})
		time.AfterFunc(crashAt+crashLength, func() {
			s.record.note("the servers are back")
			if _, err := startLeafs(1); err != nil {
				s.record.note("starting the servers again failed: %v", err)
			}
		})
		time.AfterFunc(finalAt, func() {
			s.record.note("all instances are killed")
			for _, i := range s.instances {
				i.kill()
			}
			time.Sleep(finalDown)
			for _, i := range s.instances {
				if err := i.start(); err != nil {
					s.record.note("starting an instance again failed: %v", err)
				}
			}
		})
	}
	// One request in twenty is for a document of its own: it shows that the service works.
	sent := s.traffic(40, 45, finalAt+finalDown+recoveryBound+observed, func(n int) (string, requestSpec) {
		label, target := "same", prefix+"2f"
		if n%20 == 19 {
			label, target = "other", fmt.Sprintf("%sd%d", prefix, n)
		}
		return label, requestSpec{method: "GET", host: host, target: target, deadline: 8 * time.Second, retries: 1}
	})
	after := finalAt + finalDown + recoveryBound
	requestsBefore, servedBefore := servedShare(sent, "", 0, finalAt)
	requestsAfter, servedAfter := servedShare(sent, "", after, after+observed)
	others, servedOthers := servedShare(sent, "other", after, after+observed)
	s.record.note("before the final fault: %d requests, %d served", requestsBefore, servedBefore)
	s.record.note("later than recoveryS after the machines are back: %d requests, %d served", requestsAfter, servedAfter)
	s.record.note("of these, for other documents: %d requests, %d served", others, servedOthers)
	s.record.note("keys of the instances in the store: %v", s.store.keys("lentilward/"))
	if requestsAfter == 0 || 4*servedBefore < requestsBefore {
		return false, fmt.Errorf("too few requests were served before the final fault: %d of %d", servedBefore, requestsBefore)
	}
	return 4*servedAfter >= requestsAfter, nil
}
