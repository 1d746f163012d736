package pace

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// groups is the number of groups of servers; one instance adds up the reports about a
	// group. So an instance sends at most this number of messages in an interval.
	groups = 4
	// maxReports is the number of servers in one message, and maxMerged the number of
	// servers whose reports one instance adds up.
	maxReports = 64
	maxMerged  = 4096
	// maxCount bounds the number of calls in a report.
	maxCount = 10000
	// minInterval and intervalPerInstance determine the time between two reports: the
	// instance that adds them up gets at most 333 messages a second.
	minInterval         = 200 * time.Millisecond
	intervalPerInstance = 3 * time.Millisecond
	// settleTime is how long after the start of this instance servers are not paced: all
	// servers are new to it, and may be cold after a common loss of power.
	settleTime = 3 * time.Second
	// mergedTTL is how long the state of a server is kept after the last report.
	mergedTTL = 5 * time.Second
)

// Report is what one instance has observed of a server since its last report.
type Report struct {
	ID string `cbor:"id"`
	// Age is how long ago the pace has started at the instance.
	Age   time.Duration `cbor:"age"`
	Marks Marks         `cbor:"marks"`
}

// Cause is the reason why a server is paced.
type Cause string

// Causes of a pace: a new server, a new process of one, one that could not be reached, and
// one that reports a cold start.
const (
	Started   Cause = "started"
	Restarted Cause = "restarted"
	Recovered Cause = "recovered"
	Cold      Cause = "cold"
)

// Set has the paces of the servers that an instance calls, and adds up the reports about
// the servers of which it is the owner.
type Set struct {
	// Paced reports whether servers are paced.
	Paced func() bool
	// Owner returns the address of the instance that adds up the reports of a group, and
	// whether it is this one.
	Owner func(group int) (owner netip.AddrPort, self bool)
	// Instances returns the number of instances.
	Instances func() int
	// OnStart and OnEnd are called when a pace starts and ends. They must not block.
	OnStart func(id, service string, cause Cause)
	OnEnd   func(id, service string, weight float64, took time.Duration)

	begin time.Time
	// wake is sent to when a pace starts.
	wake  chan struct{}
	count atomic.Int32

	mu     sync.Mutex
	paces  map[string]*entry
	merged map[string]*mergedPace
}

// entry is a pace in use.
type entry struct {
	*Pace
	service string
	// end takes the pace from its server.
	end func(*Pace)
}

// mergedPace is the pace of a server by the reports of all instances.
type mergedPace struct {
	*Pace
	reportedAt time.Time
	// doneAt is when the pace has ended; zero before.
	doneAt time.Time
}

// NewSet returns a set without paces. Its function fields must be set before use.
func NewSet() *Set {
	return &Set{
		Paced:     func() bool { return false },
		Owner:     func(int) (netip.AddrPort, bool) { return netip.AddrPort{}, true },
		Instances: func() int { return 1 },
		OnStart:   func(string, string, Cause) {}, OnEnd: func(string, string, float64, time.Duration) {},
		begin: time.Now(), wake: make(chan struct{}, 1), paces: make(map[string]*entry), merged: make(map[string]*mergedPace),
	}
}

// Start starts the pace of a server, anew if it has one. It returns nil if servers are not
// paced. end is called with the pace once it has ended.
func (s *Set) Start(id, service string, cause Cause, now time.Time, end func(*Pace)) *Pace {
	if now.Sub(s.begin) < settleTime || !s.Paced() {
		return nil
	}
	p := New(now)
	s.mu.Lock()
	_, known := s.paces[id]
	s.paces[id] = &entry{Pace: p, service: service, end: end}
	s.count.Store(int32(len(s.paces)))
	s.mu.Unlock()
	if !known {
		s.OnStart(id, service, cause)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return p
}

// Len returns the number of servers that are paced.
func (s *Set) Len() int { return int(s.count.Load()) }

// Wake is ready when a pace has started.
func (s *Set) Wake() <-chan struct{} { return s.wake }

// Interval returns the time between two reports.
func (s *Set) Interval() time.Duration {
	return max(minInterval, time.Duration(s.Instances())*intervalPerInstance)
}

func groupOf(id string) int { return int(xxhash.Sum64String(id) % groups) }

// Tick ends the paces that are done and returns the reports to send, by owner. Those that
// this instance owns are merged at once.
func (s *Set) Tick(now time.Time) map[netip.AddrPort][]Report {
	s.mu.Lock()
	var ended []*entry
	var endedIDs []string
	var own []Report
	reports := make(map[netip.AddrPort][]Report)
	for id, e := range s.paces {
		if e.IsDone(now) {
			ended, endedIDs = append(ended, e), append(endedIDs, id)
			delete(s.paces, id)
			continue
		}
		owner, self := s.Owner(groupOf(id))
		if !self && len(reports[owner]) >= maxReports {
			continue
		}
		marks, ok := e.takeReport()
		if !ok {
			continue
		}
		r := Report{ID: id, Age: now.Sub(e.begin), Marks: marks}
		if self {
			own = append(own, r)
		} else {
			reports[owner] = append(reports[owner], r)
		}
	}
	s.count.Store(int32(len(s.paces)))
	s.mu.Unlock()
	for i, e := range ended {
		e.end(e.Pace)
		s.OnEnd(endedIDs[i], e.service, e.Weight(now), now.Sub(e.begin))
	}
	s.Apply(own, s.mergeAll(own, now), now)
	return reports
}

// Merge adds up the reports of another instance, and returns a state for each, in their
// order. It ignores those above maxReports.
func (s *Set) Merge(reports []Report, now time.Time) []State {
	return s.mergeAll(reports[:min(len(reports), maxReports)], now)
}

func (s *Set) mergeAll(reports []Report, now time.Time) []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.merged {
		if now.Sub(m.reportedAt) >= mergedTTL {
			delete(s.merged, id)
		}
	}
	states := make([]State, 0, len(reports))
	for _, r := range reports {
		states = append(states, s.mergeReport(r, now))
	}
	return states
}

func (s *Set) mergeReport(r Report, now time.Time) State {
	m := s.merged[r.ID]
	switch {
	case m == nil && len(s.merged) >= maxMerged, !r.Marks.isValid():
		return State{Weight: -1}
	case m == nil, !m.doneAt.IsZero() && r.Age < now.Sub(m.doneAt):
		m = &mergedPace{Pace: New(now)}
		s.merged[r.ID] = m
		// The reports of instances that noticed the start earlier go on from their time.
		if r.Age > 0 {
			m.begin, m.at = now.Add(-r.Age), now.Add(-min(r.Age, s.Interval()))
		}
	}
	m.reportedAt = now
	state := m.Merge(r.Marks, now)
	if m.doneAt.IsZero() && m.IsDone(now) {
		m.doneAt = now
	}
	return state
}

// Apply adopts the states that the owner has returned for reports.
func (s *Set) Apply(reports []Report, states []State, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, state := range states[:min(len(states), len(reports))] {
		if e := s.paces[reports[i].ID]; e != nil {
			e.adopt(state, now)
		}
	}
}

// Restore keeps reports that the owner did not get for the next time.
func (s *Set) Restore(reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		if e := s.paces[r.ID]; e != nil {
			e.restore(r.Marks)
		}
	}
}
