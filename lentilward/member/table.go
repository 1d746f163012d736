// Package member keeps each instance's view of the others by probes of a few
// random members, on which news rides.
package member

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// newsPerMessage bounds the members that one message tells about.
	newsPerMessage = 6
	// newsRepeats is how often one piece of news is told.
	newsRepeats = 8
	// suspectTimeout is how long a suspected member has to refute.
	suspectTimeout = 1500 * time.Millisecond
	// hearing is how long a member that was heard counts towards a majority. It is
	// shorter than the time in which others can take it for dead.
	hearing = 3 * time.Second
	// leaveTimeout is how long a member that left is remembered.
	leaveTimeout = 30 * time.Second
	// deadTimeout is how long a dead member counts towards a majority.
	deadTimeout = time.Minute
)

// Gossip is what rides on a probe and on its answer.
type Gossip struct {
	From blackboard.Member   `cbor:"from"`
	News []blackboard.Member `cbor:"news"`
	// Age is how long ago the sender's revision was known to be the newest.
	Age time.Duration `cbor:"age,omitempty"`
}

// Table is the writer of the Members cell.
type Table struct {
	board *blackboard.Board
	now   func() time.Time
	// Revision returns the revision of what this instance can tell its peers.
	Revision func() uint64
	// Age returns how long ago that revision was known to be the newest.
	Age func() time.Duration

	mu      sync.Mutex
	self    blackboard.Member
	members map[string]*entry
	seeds   []netip.AddrPort
	changed time.Time
	// majoritySince is zero while there is no majority.
	majoritySince time.Time
}

type entry struct {
	blackboard.Member
	repeats int
}

// NewTable returns a table that knows only this instance.
func NewTable(board *blackboard.Board, self blackboard.Member, now func() time.Time) *Table {
	t := &Table{board: board, now: now, self: self, members: make(map[string]*entry), changed: now()}
	t.Revision = func() uint64 { return board.Config.Load().Revision }
	t.Age = func() time.Duration { return 0 }
	t.publish()
	return t
}

// Self returns this instance as it tells others.
func (t *Table) Self() blackboard.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.describe()
}

func (t *Table) describe() blackboard.Member {
	self := t.self
	self.Revision = t.Revision()
	return self
}

// Leave tells others that this instance stops.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = blackboard.Leaving
	t.self.Incarnation++
	t.publish()
}

// SetSeeds notes the addresses at which instances should be.
func (t *Table) SetSeeds(seeds []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
	t.publish()
}

// unmet counts the seeds at which no member is known. The caller holds mu.
func (t *Table) unmet() int {
	known := map[netip.AddrPort]bool{t.self.Address: true}
	for _, e := range t.members {
		known[e.Address] = true
	}
	n := 0
	for _, address := range t.seeds {
		if !known[address] {
			known[address] = true
			n++
		}
	}
	return n
}

// Answer returns what to tell a member that was heard. If it is believed to be
// gone it must know, so that it can refute.
func (t *Table) Answer(to string) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.gossip()
	if e := t.members[to]; e != nil && e.State != blackboard.Alive {
		g.News = append(g.News, e.Member)
	}
	return g
}

// Gossip returns what to tell next.
func (t *Table) Gossip() Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gossip()
}

func (t *Table) gossip() Gossip {
	news := make([]*entry, 0, len(t.members))
	for _, e := range t.members {
		if e.repeats < newsRepeats {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b *entry) int { return cmp.Compare(a.repeats, b.repeats) })
	g := Gossip{From: t.describe(), Age: t.Age()}
	for _, e := range news[:min(len(news), newsPerMessage)] {
		e.repeats++
		g.News = append(g.News, e.Member)
	}
	if e := t.random(); e != nil && len(news) < newsPerMessage {
		g.News = append(g.News, e.Member)
	}
	return g
}

// random returns any member, so that lost news is repaired in time.
func (t *Table) random() *entry {
	if len(t.members) == 0 {
		return nil
	}
	skip := rand.IntN(len(t.members))
	for _, e := range t.members {
		if skip == 0 {
			return e
		}
		skip--
	}
	return nil
}

// Receive takes in what another member told, which was heard from directly.
func (t *Table) Receive(g Gossip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(g.From)
	if e := t.members[g.From.Name]; e != nil {
		e.Heard = t.now()
		e.Revision = max(e.Revision, g.From.Revision)
	}
	for _, m := range g.News {
		t.merge(m)
	}
	t.publish()
}

// merge takes in one piece of news if it is newer than what is known.
func (t *Table) merge(m blackboard.Member) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	e := t.members[m.Name]
	if e == nil {
		if m.State == blackboard.Dead {
			return
		}
		e = &entry{Member: m}
		e.Since = t.now()
		e.Heard = t.now()
		t.members[m.Name] = e
		t.changed = t.now()
		return
	}
	e.Revision = max(e.Revision, m.Revision)
	if m.Incarnation < e.Incarnation || m.Incarnation == e.Incarnation && m.State <= e.State {
		return
	}
	t.set(e, m)
}

func (t *Table) set(e *entry, m blackboard.Member) {
	before, heard := e.State, e.Heard
	restarted := m.Incarnation != e.Incarnation && m.State == blackboard.Alive && before > blackboard.Suspected
	revision := max(e.Revision, m.Revision)
	e.Member = m
	e.Heard = heard
	e.Revision = revision
	e.Since = t.now()
	e.repeats = 0
	if before != m.State && m.State > blackboard.Suspected || restarted {
		t.changed = t.now()
	}
}

// refute answers news that this instance is gone with a higher incarnation.
func (t *Table) refute(m blackboard.Member) {
	if m.State == blackboard.Alive || m.Incarnation < t.self.Incarnation {
		return
	}
	if t.self.State != blackboard.Leaving {
		t.self.Incarnation = m.Incarnation + 1
	}
}

// Suspect notes that a member does not answer.
func (t *Table) Suspect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.members[name]; e != nil && e.State == blackboard.Alive {
		m := e.Member
		m.State = blackboard.Suspected
		t.set(e, m)
		t.publish()
	}
}

// Expire moves members on whose time has passed.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for name, e := range t.members {
		age := now.Sub(e.Since)
		switch {
		case e.State == blackboard.Suspected && age > suspectTimeout:
			m := e.Member
			m.State = blackboard.Dead
			t.set(e, m)
		case e.State == blackboard.Leaving && age > leaveTimeout,
			e.State == blackboard.Dead && age > deadTimeout:
			delete(t.members, name)
		}
	}
	t.publish()
}

// countMajority notes since when more than half of the members were heard
// lately. The caller holds mu.
func (t *Table) countMajority(unmet int) {
	now := t.now()
	known, heard := 1+unmet, 1
	for _, e := range t.members {
		if e.State == blackboard.Leaving {
			continue
		}
		known++
		if e.State == blackboard.Alive && now.Sub(e.Heard) <= hearing {
			heard++
		}
	}
	switch {
	case 2*heard <= known:
		t.majoritySince = time.Time{}
	case t.majoritySince.IsZero():
		t.majoritySince = now
	}
}

// publish writes the Members cell. The caller holds mu.
func (t *Table) publish() {
	view := &blackboard.Members{Self: t.self.Name, LastChange: t.changed, Unmet: t.unmet()}
	t.countMajority(view.Unmet)
	view.HasMajority, view.MajoritySince = !t.majoritySince.IsZero(), t.majoritySince
	view.List = append(view.List, t.describe())
	for _, e := range t.members {
		view.List = append(view.List, e.Member)
	}
	slices.SortFunc(view.List, func(a, b blackboard.Member) int { return cmp.Compare(a.Name, b.Name) })
	t.board.Members.Store(view)
}
