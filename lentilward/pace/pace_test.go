package pace

import (
	"math"
	"net/netip"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// weightAfter returns the weight after a time in which calls end at an interval.
func weightAfter(p *Pace, d, interval time.Duration, ok bool, relativeLatency float64) float64 {
	now := p.at
	for end := now.Add(d); now.Before(end); {
		now = now.Add(interval)
		p.Observe(ok, relativeLatency, now)
	}
	return p.Weight(now)
}

// Guards against a pace that counts calls: it must rise and fall as fast with few as with
// many.
func TestWeightFollowsTimeAndNotCounts(t *testing.T) {
	for _, interval := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		p := New(epoch)
		if w := p.Weight(epoch); w != minWeight {
			t.Fatalf("starts with %v", w)
		}
		half := weightAfter(p, 400*time.Millisecond, interval, true, 1)
		full := weightAfter(p, 600*time.Millisecond, interval, true, 1)
		low := weightAfter(p, 500*time.Millisecond, interval, false, 0)
		t.Logf("calls each %v: %.2f after 0.4 s, %.2f after 1 s, %.2f after 0.5 s of failures", interval, half, full, low)
		if half < 0.2 || half > 0.6 || full < 1 || low > 0.2 {
			t.Errorf("calls each %v: %.2f after 0.4 s, %.2f after 1 s, %.2f after 0.5 s of failures", interval, half, full, low)
		}
	}
}

// Guards against a pace that does not end: a server without calls, or one that is slow for
// good, must get its calls at some time.
func TestPaceEnds(t *testing.T) {
	p := New(epoch)
	if p.IsDone(epoch.Add(500*time.Millisecond)) || !p.IsDone(epoch.Add(2500*time.Millisecond)) {
		t.Error("pace without calls does not end after 0.5 to 2.5 s")
	}
	p = New(epoch)
	weightAfter(p, maxDuration-time.Second, 50*time.Millisecond, true, 9)
	if p.IsDone(p.at) || !p.IsDone(epoch.Add(maxDuration)) {
		t.Error("pace of a slow server does not end after maxDuration")
	}
}

// Guards against a cold server without a queue that is taken for a slow one, and against a
// slow one that is taken for a cold one.
func TestColdAnswersRaiseTheWeightAndSlowOnesDoNot(t *testing.T) {
	if w := weightAfter(New(epoch), time.Second, 20*time.Millisecond, true, 1.6); w < 0.9 {
		t.Errorf("weight %.2f after answers of 1.6 times the median", w)
	}
	if w := weightAfter(New(epoch), time.Second, 20*time.Millisecond, true, 3); w > 0.15 {
		t.Errorf("weight %.2f after answers of 3 times the median", w)
	}
}

// Guards against a pace that rises at one instance while others observe failures, and
// against a state or a report of a faulty peer that is taken over.
func TestInstancesAgreeOnTheWeight(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:1")
	newSet := func(self bool) *Set {
		s := NewSet()
		s.begin = epoch.Add(-time.Minute)
		s.Paced = func() bool { return true }
		s.Owner = func(int) (netip.AddrPort, bool) { return address, self }
		return s
	}
	owner, a, b := newSet(true), newSet(false), newSet(false)
	paceA := a.Start("x", "s", Started, epoch, func(*Pace) {})
	paceB := b.Start("x", "s", Started, epoch, func(*Pace) {})
	now := epoch
	exchange := func(s *Set) {
		for _, reports := range s.Tick(now) {
			s.Apply(reports, owner.Merge(reports, now), now)
		}
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		paceA.Observe(false, 0, now)
		paceB.Weight(now)
		exchange(a)
		exchange(b)
	}
	if w := paceB.Weight(now); w > 0.3 {
		t.Errorf("weight %.2f while another instance observes failures", w)
	}
	reports := []Report{{ID: "x"}}
	for _, state := range []State{{Weight: -1}, {Weight: math.NaN()}, {Weight: 7}, {Weight: 1, Recent: Marks{Sum: math.Inf(1), Evidence: 1}}, {Weight: 1, Recent: Marks{Sum: math.NaN(), Evidence: 1}}} {
		before := paceB.Weight(now)
		b.Apply(reports, []State{state}, now)
		if paceB.Weight(now) != before {
			t.Errorf("took over %+v", state)
		}
	}
	for _, marks := range []Marks{{Sum: math.NaN()}, {Sum: -1e300, Evidence: 1}, {Evidence: math.Inf(1)}, {Evidence: -1}} {
		if states := owner.Merge([]Report{{ID: "x", Marks: marks}}, now); states[0].Weight != -1 {
			t.Errorf("added up %+v", marks)
		}
	}
}

// Guards against messages without bound while many servers are paced, and against servers
// that are never reported because others are.
func TestReportsAreBounded(t *testing.T) {
	s := NewSet()
	s.begin = epoch.Add(-time.Minute)
	s.Paced = func() bool { return true }
	s.Owner = func(group int) (netip.AddrPort, bool) {
		return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(group)), false
	}
	for i := range 675 {
		s.Start(string(rune('a'+i%26))+string(rune('a'+i/26)), "s", Started, epoch, func(*Pace) {})
	}
	reported := make(map[string]bool)
	for range 40 {
		for _, e := range s.paces {
			e.Weight(epoch)
		}
		messages := s.Tick(epoch)
		if len(messages) > groups {
			t.Fatalf("%d messages", len(messages))
		}
		for _, reports := range messages {
			if len(reports) > maxReports {
				t.Fatalf("%d reports in a message", len(reports))
			}
			for _, r := range reports {
				reported[r.ID] = true
			}
		}
	}
	if len(reported) != s.Len() {
		t.Errorf("%d of %d servers were reported", len(reported), s.Len())
	}
}

// Guards against a pace of all servers at the start of an instance, and without the
// setting.
func TestNoPaceAtTheStartOrWithoutTheSetting(t *testing.T) {
	s := NewSet()
	s.begin, s.Paced = epoch, func() bool { return true }
	if s.Start("x", "s", Cold, epoch.Add(settleTime/2), func(*Pace) {}) != nil {
		t.Error("paced at the start of the instance")
	}
	s.Paced = func() bool { return false }
	if s.Start("x", "s", Cold, epoch.Add(time.Minute), func(*Pace) {}) != nil || s.Len() != 0 {
		t.Error("paced without the setting")
	}
}

// Guards against a report that is lost with its message, and a pace that stays at its server
// after its end.
func TestLostReportsAreSentAgainAndPacesEndOnce(t *testing.T) {
	s := NewSet()
	s.begin, s.Paced = epoch.Add(-time.Minute), func() bool { return true }
	s.Owner = func(int) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
	ends := 0
	s.OnEnd = func(string, string, float64, time.Duration) { ends++ }
	p := s.Start("x", "s", Started, epoch, func(*Pace) { ends++ })
	p.Observe(true, 1, epoch)
	for range 2 {
		for _, reports := range s.Tick(epoch) {
			if reports[0].Marks.Evidence != 1 {
				t.Fatalf("reports %+v", reports)
			}
			s.Restore(reports)
		}
	}
	s.Tick(epoch.Add(time.Minute))
	s.Tick(epoch.Add(time.Minute))
	if ends != 2 || s.Len() != 0 {
		t.Fatalf("%d ends, %d paces left", ends, s.Len())
	}
}
