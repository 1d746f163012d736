package main

import (
	"fmt"
	"syscall"
	"time"
)

// calmFaults disturb neither an instance nor the store, faultKinds are all faults.
var (
	calmFaults = []string{"hangup", "server-cut-off", "server-reset", "server-trouble", "configuration", "drain", "withdrawal"}
	faultKinds = append([]string{
		"kill", "stop", "freeze", "store-down", "store-slow", "store-loses-answers", "store-forgets", "store-cut-off", "store-returns", "silence",
	}, calmFaults...)
)

// phases follow each other again and again: bounds in time hold only for instances and a
// store that were undisturbed for stableWindow.
var phases = []struct {
	length time.Duration
	kinds  []string
}{
	{12 * time.Second, faultKinds},
	{2 * meanFaultInterval, []string{"store-returns"}},
	{17500 * time.Millisecond, calmFaults},
}

const (
	// outOfServicePeriod is how long a server drains and a data centre stays withdrawn.
	outOfServicePeriod = 8 * time.Second
	// returnOutage is how long the store is away before it comes back from a copy.
	returnOutage = 900 * time.Millisecond
	// writeAgainPeriod is the time over which the operator writes its records again.
	writeAgainPeriod = 2500 * time.Millisecond
	// maxOtherWrites bounds the writes of others that a return loses.
	maxOtherWrites = 16
	// maxLateWriteDelay is how late a write takes effect whose reply was lost.
	maxLateWriteDelay = 3 * time.Second
)

// kindsAt returns the faults that may be injected some time after the begin of the run.
func kindsAt(elapsed time.Duration) []string {
	for n := 0; ; n++ {
		p := phases[n%len(phases)]
		if elapsed < p.length {
			return p.kinds
		}
		elapsed -= p.length
	}
}

// injectFault logs and injects a random fault of the given kinds. Every fault ends by itself.
func (s *soak) injectFault(kinds []string) {
	s.faultCount++
	duration := time.Duration(500+s.rand.IntN(2500)) * time.Millisecond
	i := s.instances[s.rand.IntN(len(s.instances))]
	target := s.servers[s.rand.IntN(len(s.servers))]
	kind, count := kinds[s.rand.IntN(len(kinds))], 1+s.rand.IntN(3)
	fmt.Fprintf(s.log, "%s %s for %v, instance %s, server %s, count %d\n", time.Now().Format(time.TimeOnly+".000"), kind, duration, i.name, target.id, count)
	switch kind {
	case "kill":
		s.restartInstance(i, syscall.SIGKILL, true)
	case "stop":
		s.restartInstance(i, syscall.SIGTERM, false)
	case "freeze":
		i.disturb(duration)
		i.signal(syscall.SIGSTOP, true)
		time.AfterFunc(duration, func() { i.signal(syscall.SIGCONT, true) })
	case "hangup":
		i.signal(syscall.SIGHUP, false)
	case "store-down":
		s.storeCalm.disturb(duration)
		s.store.StartOutage(duration, s.rand.IntN(2) == 0, s.rand.IntN(2) == 0)
	case "store-slow":
		s.storeCalm.disturb(duration)
		s.store.SlowDown(300*time.Millisecond, duration)
	case "store-loses-answers":
		s.loseReplies(duration, s.rand.IntN(2) == 0)
	case "store-forgets":
		s.storeCalm.disturb(max(duration, time.Second))
		s.store.Compact(time.Second)
	case "store-cut-off":
		i.disturb(duration)
		s.disruptProxy(i.storeProxy, &i.calm, duration)
	case "store-returns":
		go s.returnStore(duration, count, s.rand.IntN(maxOtherWrites))
	case "server-cut-off":
		s.disruptProxy(target.proxy, &target.link, duration)
	case "server-reset":
		target.link.disturb(0)
		target.proxy.resetConns()
	case "server-trouble":
		mode := slow + s.rand.Int32N(modeCount-slow)
		target.mode.Store(mode)
		time.AfterFunc(duration, func() { target.mode.Store(target.usualMode) })
	case "configuration":
		go func() {
			for range count {
				s.publishConfiguration()
				time.Sleep(duration / 10)
			}
		}()
	case "drain":
		go s.drainServer(target)
	case "withdrawal":
		go s.withdrawDataCentre(target.dataCentre)
	case "silence":
		target.link.disturb(0)
		target.proxy.silenceConns()
		i.disturb(0)
		i.storeProxy.silenceConns()
	}
}

// loseReplies lets the store lose the replies to writes. Late writes may bring older records
// back until maxLateWriteDelay after it.
func (s *soak) loseReplies(duration time.Duration, delayed bool) {
	s.lateWrites.disturb(duration + 2*revokeWithin)
	s.storeCalm.disturb(duration)
	if delayed {
		s.storeCalm.disturb(duration + maxLateWriteDelay)
		s.operator.beginLoss()
		time.AfterFunc(duration+maxLateWriteDelay, func() { s.noteLoss(writeAgainPeriod) })
	}
	s.store.LoseReplies(0.5, duration, delayed)
}

// returnStore takes a copy of the store, and lets the store come back from it later, one or
// more times in a row. Meanwhile others write, too.
func (s *soak) returnStore(age time.Duration, count, others int) {
	older := s.store.TakeCopy()
	s.writeOther(others)
	time.Sleep(age)
	for range count {
		s.storeCalm.disturb(returnOutage)
		s.operator.beginLoss()
		s.store.StartOutage(returnOutage, count == 2, false)
		time.Sleep(returnOutage)
		s.store.Restore(older)
		s.storeCalm.disturb(0)
		s.returnCount.Add(1)
		s.noteLoss(writeAgainPeriod)
		fmt.Fprintf(s.log, "%s returned, era %d\n", time.Now().Format(time.TimeOnly+".000"), s.store.Era())
		time.Sleep(age / 2)
	}
}

func (s *soak) disruptProxy(p *proxy, c *calm, duration time.Duration) {
	c.disturb(duration)
	p.mode.Store(delaying + s.rand.Int32N(3))
	time.AfterFunc(duration, func() {
		p.mode.Store(forwarding)
		p.resetConns()
		c.disturb(0)
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

// drainServer registers a server as draining and returns it to service later.
func (s *soak) drainServer(target *server) {
	if !target.leaving.CompareAndSwap(false, true) {
		return
	}
	defer target.leaving.Store(false)
	s.registerServer(target, true)
	time.Sleep(outOfServicePeriod)
	if target.drain.age() > maxDrainDelay && target.inTouch() {
		s.ledger.drainsJudged.Add(1)
	}
	s.registerServer(target, false)
}

// withdrawDataCentre withdraws a data centre and lifts that later, unless one is withdrawn.
func (s *soak) withdrawDataCentre(d *dataCentre) {
	if !s.withdrawing.CompareAndSwap(false, true) {
		return
	}
	defer s.withdrawing.Store(false)
	s.setWithdrawn(d, true)
	time.Sleep(outOfServicePeriod)
	if d.withdrawal.age() > maxWithdrawalDelay && s.inTouch() {
		s.ledger.withdrawalsJudged.Add(1)
	}
	s.setWithdrawn(d, false)
}
