package balance

import (
	"testing"
	"time"
)

// breakerTest feeds two servers results in virtual time.
type breakerTest struct {
	service       *Service
	failing, good *Server
	now           time.Time
	changes       []bool
}

func newBreakerTest() *breakerTest {
	b := &breakerTest{failing: newTestServer("failing", false), good: newTestServer("good", false), now: time.Now()}
	b.service = newTestService(b.failing, b.good)
	b.service.OnBreaker = func(_ *Server, broken bool) { b.changes = append(b.changes, broken) }
	b.service.SetServers(b.service.Servers())
	return b
}

// reply lets a server reply once, and time pass.
func (b *breakerTest) reply(s *Server, failed bool) {
	s.RecordReply(1, failed, b.now)
	b.now = b.now.Add(10 * time.Millisecond)
}

// choices returns how many of 50 calls the failing server gets.
func (b *breakerTest) choices() int {
	n := 0
	for range 50 {
		s := b.service.Acquire(nil, b.now)
		if s == b.failing {
			n++
		}
		b.service.Release(s)
	}
	return n
}

func (b *breakerTest) breakOff(t *testing.T) {
	t.Helper()
	for range 20 {
		b.reply(b.failing, true)
		b.reply(b.good, false)
	}
	// The healthy server is busy, so that the failing one seems to be the better choice.
	b.good.AddOverdueCall()
	if n := b.choices(); n > 0 || !b.failing.IsBroken() {
		t.Fatalf("failing server got %d of 50 calls, broken %v", n, b.failing.IsBroken())
	}
}

// Guards against a broken server that is never tried again, or gets all calls after one
// success.
func TestBrokenServerIsProbedAndRestored(t *testing.T) {
	b := newBreakerTest()
	b.breakOff(t)
	probes := 0
	for range 1000 {
		if s := b.service.AcquireProbe(true, b.now); s != nil {
			probes++
			b.service.Release(s)
			s.RecordReply(1, true, b.now)
		}
		b.now = b.now.Add(10 * time.Millisecond)
	}
	if probes < 6 || probes > 20 {
		t.Fatalf("%d probes in 10 s", probes)
	}
	b.now = b.now.Add(2 * time.Second)
	for range probesToRestore {
		if !b.failing.IsBroken() {
			t.Fatal("restored before enough probes succeeded")
		}
		s := b.service.AcquireProbe(true, b.now)
		if s == nil {
			t.Fatal("no probe is due")
		}
		b.service.Release(s)
		s.RecordReply(1, false, b.now)
		b.now = b.now.Add(time.Second)
	}
	if n := b.choices(); n == 0 || b.failing.IsBroken() || len(b.changes) != 2 {
		t.Fatalf("restored server got %d of 50 calls, broken %v, changes %v", n, b.failing.IsBroken(), b.changes)
	}
}

// Guards against a service without a server: if no other can be called, or the others
// fail as well, a broken server must serve.
func TestBrokenServerServesIfNoOtherCan(t *testing.T) {
	for name, fail := range map[string]func(*breakerTest){
		"out of service": func(b *breakerTest) { b.good.SetOutOfService(true) },
		"paused":         func(b *breakerTest) { b.good.RecordPause(b.now.Add(time.Minute)) },
		"fails as well": func(b *breakerTest) {
			for range 12 {
				b.reply(b.good, true)
			}
		},
	} {
		b := newBreakerTest()
		b.breakOff(t)
		fail(b)
		if n := b.choices(); n == 0 {
			t.Errorf("%s: no call to the broken server", name)
		}
	}
}

// Guards against breaking a server off because of one event that ends many calls, or
// while it is the only one that is known.
func TestOneEventDoesNotBreakServerOff(t *testing.T) {
	b := newBreakerTest()
	for range 100 {
		b.failing.RecordFailedCall(b.now)
	}
	b.reply(b.good, false)
	if b.choices(); b.failing.IsBroken() {
		t.Fatal("broken off by failures at one time")
	}
	b = newBreakerTest()
	for range 100 {
		b.reply(b.failing, true)
	}
	if b.choices(); b.failing.IsBroken() {
		t.Fatal("broken off although nothing is known of the other server")
	}
}
