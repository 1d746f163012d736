package main

import (
	"fmt"
	"syscall"
	"time"
)

// kinds name the faults, in the order of their numbers.
var kinds = []string{
	"kill", "stop", "freeze", "hangup", "store-down", "store-slow", "store-loses-answers", "store-forgets",
	"store-cut-off", "server-cut-off", "server-reset", "server-trouble", "configuration", "drain",
}

// fault brings about one random fault. Each ends by itself.
func (s *soak) fault() {
	s.faults++
	length := time.Duration(500+s.rand.IntN(2500)) * time.Millisecond
	i := s.instances[s.rand.IntN(len(s.instances))]
	x := s.servers[s.rand.IntN(len(s.servers))]
	kind := s.rand.IntN(len(kinds))
	fmt.Fprintf(s.log, "%s %s for %v, instance %s, server %s\n", time.Now().Format(time.TimeOnly+".000"), kinds[kind], length, i.name, x.id)
	switch kind {
	case 0:
		s.restart(i, syscall.SIGKILL, true)
	case 1:
		s.restart(i, syscall.SIGTERM, false)
	case 2:
		i.signal(syscall.SIGSTOP, true)
		time.AfterFunc(length, func() { i.signal(syscall.SIGCONT, true) })
	case 3:
		i.signal(syscall.SIGHUP, false)
	case 4:
		s.storeFault(length, func() { s.store.Outage(length, s.rand.IntN(2) == 0, s.rand.IntN(2) == 0) })
	case 5:
		s.storeFault(length, func() { s.store.SlowDown(300*time.Millisecond, length) })
	case 6:
		s.storeFault(length, func() { s.store.LoseAnswers(0.5, length, s.rand.IntN(2) == 0) })
	case 7:
		s.storeFault(length, func() { s.store.Compact(time.Second) })
	case 8:
		s.storeFault(length, func() { s.spoil(i.store, length) })
	case 9:
		s.spoil(x.proxy, length)
	case 10:
		x.proxy.cut()
	case 11:
		trouble := slow + s.rand.Int32N(3)
		x.trouble.Store(trouble)
		time.AfterFunc(length, func() { x.trouble.Store(calm) })
	case 12:
		s.configure()
	case 13:
		s.drain(x)
	}
}

// storeFault notes that nothing can be said for a while of what depends on the
// store.
func (s *soak) storeFault(length time.Duration, fault func()) {
	s.unwell.Store(time.Now().Add(length + storePause).UnixNano())
	fault()
}

func (s *soak) spoil(p *proxy, length time.Duration) {
	p.mode.Store(delaying + s.rand.Int32N(3))
	time.AfterFunc(length, func() {
		p.mode.Store(passing)
		p.cut()
	})
}

// restart ends an instance and starts it again, unless that is under way.
func (s *soak) restart(i *instance, signal syscall.Signal, harm bool) {
	if !i.restarting.CompareAndSwap(false, true) {
		return
	}
	ended := i.signal(signal, harm)
	s.restarts.Go(func() {
		defer i.restarting.Store(false)
		select {
		case <-ended:
		case <-time.After(grace + time.Second):
			i.signal(syscall.SIGCONT, true)
			<-i.signal(syscall.SIGKILL, true)
		}
		if err := i.start(s.program, s.settings[i], s.folder); err != nil {
			s.ledger.find("start: %v", err)
		}
	})
}

// drain takes a server out for a while.
func (s *soak) drain(x *server) {
	if x.left.Load() != 0 {
		return
	}
	s.register(x, true)
	x.left.Store(time.Now().UnixNano())
	time.AfterFunc(6*time.Second, func() {
		x.left.Store(0)
		s.register(x, false)
	})
}
