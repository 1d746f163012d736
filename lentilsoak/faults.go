package main

import (
	"fmt"
	"syscall"
	"time"
)

// faultKinds are the names of the faults; injectFault refers to them by index.
var faultKinds = []string{
	"kill", "stop", "freeze", "hangup", "store-down", "store-slow", "store-loses-answers", "store-forgets",
	"store-cut-off", "server-cut-off", "server-reset", "server-trouble", "configuration", "drain", "silence",
}

// injectFault logs and injects a random fault. Every fault ends by itself.
func (s *soak) injectFault() {
	s.faultCount++
	duration := time.Duration(500+s.rand.IntN(2500)) * time.Millisecond
	i := s.instances[s.rand.IntN(len(s.instances))]
	target := s.servers[s.rand.IntN(len(s.servers))]
	kind := s.rand.IntN(len(faultKinds))
	fmt.Fprintf(s.log, "%s %s for %v, instance %s, server %s\n", time.Now().Format(time.TimeOnly+".000"), faultKinds[kind], duration, i.name, target.id)
	switch kind {
	case 0:
		s.restartInstance(i, syscall.SIGKILL, true)
	case 1:
		s.restartInstance(i, syscall.SIGTERM, false)
	case 2:
		i.signal(syscall.SIGSTOP, true)
		time.AfterFunc(duration, func() { i.signal(syscall.SIGCONT, true) })
	case 3:
		i.signal(syscall.SIGHUP, false)
	case 4:
		s.injectStoreFault(duration, func() { s.store.StartOutage(duration, s.rand.IntN(2) == 0, s.rand.IntN(2) == 0) })
	case 5:
		s.injectStoreFault(duration, func() { s.store.SlowDown(300*time.Millisecond, duration) })
	case 6:
		s.lateWritesUntil.Store(time.Now().Add(duration + 2*revokeWithin).UnixNano())
		s.injectStoreFault(duration, func() { s.store.LoseReplies(0.5, duration, s.rand.IntN(2) == 0) })
	case 7:
		s.injectStoreFault(duration, func() { s.store.Compact(time.Second) })
	case 8:
		s.injectStoreFault(duration, func() { s.disruptProxy(i.storeProxy, duration) })
	case 9:
		s.disruptProxy(target.proxy, duration)
	case 10:
		target.proxy.resetConns()
	case 11:
		mode := slow + s.rand.Int32N(modeCount-slow)
		target.mode.Store(mode)
		time.AfterFunc(duration, func() { target.mode.Store(target.usualMode) })
	case 12:
		s.publishConfiguration()
	case 13:
		s.drainServer(target)
	case 14:
		target.proxy.silenceConns()
		s.injectStoreFault(0, i.storeProxy.silenceConns)
	}
}

// injectStoreFault injects a fault into the store. Until storeRecoveryPeriod after
// its end, checks that depend on the store are suspended.
func (s *soak) injectStoreFault(duration time.Duration, inject func()) {
	s.storeFaultUntil.Store(time.Now().Add(duration + storeRecoveryPeriod).UnixNano())
	inject()
}

func (s *soak) disruptProxy(p *proxy, duration time.Duration) {
	p.mode.Store(delaying + s.rand.Int32N(3))
	time.AfterFunc(duration, func() {
		p.mode.Store(forwarding)
		p.resetConns()
	})
}

// restartInstance stops an instance with a signal and starts it again, unless a
// restart is in progress. An instance that has not exited 1 s after its grace period is
// killed.
func (s *soak) restartInstance(i *instance, signal syscall.Signal, disruptive bool) {
	if !i.restarting.CompareAndSwap(false, true) {
		return
	}
	exited := i.signal(signal, disruptive)
	s.restarts.Go(func() {
		defer i.restarting.Store(false)
		select {
		case <-exited:
		case <-time.After(gracePeriod + time.Second):
			i.signal(syscall.SIGCONT, true)
			<-i.signal(syscall.SIGKILL, true)
		}
		if err := i.start(s.program, s.settingsPaths[i], s.folder); err != nil {
			s.ledger.addFinding("restart instance: %v", err)
		}
	})
}

// drainServer registers a server as draining and returns it to service after 6 s.
func (s *soak) drainServer(target *server) {
	if target.drainingSince.Load() != 0 {
		return
	}
	s.registerServer(target, true)
	target.drainingSince.Store(time.Now().UnixNano())
	time.AfterFunc(6*time.Second, func() {
		target.drainingSince.Store(0)
		s.registerServer(target, false)
	})
}
