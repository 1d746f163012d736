// Package member maintains each instance's view of the other instances. Each
// instance probes random members at a fixed rate; probes and their replies carry
// gossip.
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
	// maxUpdatesPerMessage bounds the member updates in one message, apart from
	// the one that Reply may add.
	maxUpdatesPerMessage = 6
	// maxUpdateSends is the number of messages that carry an update before this
	// instance stops sending it.
	maxUpdateSends = 8
	// suspectTimeout is how long a suspected member has to refute the suspicion
	// before it is declared dead.
	suspectTimeout = 1500 * time.Millisecond
	// contactTimeout is how long a member counts towards a majority after its
	// last message. It must be shorter than the time in which other instances
	// can declare that member dead.
	contactTimeout = 3 * time.Second
	// leavingMemberTTL is how long the record of a member that left is kept.
	leavingMemberTTL = 30 * time.Second
	// deadMemberTTL is how long the record of a dead member is kept. Until then
	// the member still counts in the total that a majority is taken of.
	deadMemberTTL = time.Minute
)

// Gossip is the payload of a probe and of its reply.
type Gossip struct {
	From    blackboard.Member   `cbor:"from"`
	Updates []blackboard.Member `cbor:"news"`
	// Era is the era of the sender's revision; 0 if there are no eras.
	Era uint64 `cbor:"era,omitempty"`
	// Return tells of the last return of the store from an older copy; nil if there was none
	// lately.
	Return *StoreReturn `cbor:"return,omitempty"`
	// Age is how long ago the sender's version was last known to be the newest.
	Age time.Duration `cbor:"age,omitempty"`
	// CPUShares has the shares of a core, in thousandths, of the sender and of the members
	// in Updates that tell theirs, by name.
	CPUShares map[string]uint32 `cbor:"cpu-shares,omitempty"`
	// Known is the number of members that the sender knows, itself included; 0 in small
	// fleets.
	Known int `cbor:"known,omitempty"`
	// LimitAge is how long ago a backend server has last named a limit, as far as the sender
	// knows; 0 if none has lately.
	LimitAge time.Duration `cbor:"limit-age,omitempty"`
}

// StoreReturn is what an instance knows of a return of the store from an older copy.
type StoreReturn struct {
	Age time.Duration `cbor:"age"`
	// Configuration is the version of the configuration that the instance has in force.
	Configuration uint64 `cbor:"configuration"`
}

// Version returns the version of the configuration or records that the sender has.
func (g Gossip) Version() blackboard.Version {
	return blackboard.Version{Era: g.Era, Revision: g.From.Revision}
}

// Table holds this instance's view of the members. It is the only writer of the
// Members cell.
type Table struct {
	board *blackboard.Board
	now   func() time.Time
	// Version returns the version of the configuration or records that this
	// instance can send to its peers.
	Version func() blackboard.Version
	// Age returns how long ago that version was last known to be the newest.
	Age func() time.Duration
	// StoreReturn returns the last return of the store from an older copy; nil if there was none
	// lately.
	StoreReturn func() *StoreReturn
	// NamesLimit reports whether a backend server names a limit to this instance.
	NamesLimit func() bool

	mu         sync.Mutex
	self       blackboard.Member
	members    map[string]*entry
	seeds      []netip.AddrPort
	lastChange time.Time
	// majoritySince is zero while this instance has no majority.
	majoritySince time.Time
	// told is the largest number of members that a message has told.
	told int
	// limitSeenAt is when a backend server has last named a limit to any instance.
	limitSeenAt time.Time
}

type entry struct {
	blackboard.Member
	timesSent int
}

// NewTable returns a table with this instance as its only member.
func NewTable(board *blackboard.Board, self blackboard.Member, now func() time.Time) *Table {
	t := &Table{board: board, now: now, self: self, members: make(map[string]*entry), lastChange: now()}
	t.Version = func() blackboard.Version { return blackboard.Version{Revision: board.Config.Load().Revision} }
	t.Age, t.NamesLimit = func() time.Duration { return 0 }, func() bool { return false }
	t.StoreReturn = func() *StoreReturn { return nil }
	t.publish()
	return t
}

// Self returns this instance as it reports itself to others.
func (t *Table) Self() blackboard.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.localMember(t.Version())
}

func (t *Table) localMember(v blackboard.Version) blackboard.Member {
	self := t.self
	self.Revision = v.Revision
	return self
}

// Leave marks this instance as leaving in the messages that it sends from now on.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = blackboard.Leaving
	t.self.Incarnation++
	t.publish()
}

// SetSeeds sets the addresses at which instances are expected.
func (t *Table) SetSeeds(seeds []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
	t.publish()
}

// countMissingSeeds returns the number of seed addresses at which no member is
// recorded. The caller holds mu.
func (t *Table) countMissingSeeds() int {
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

// Reply returns the reply to a message from a member. If this table records the
// member as not alive, the reply includes the record, so that the member can
// refute it.
func (t *Table) Reply(to string) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.nextGossip()
	if e := t.members[to]; e != nil && e.State != blackboard.Alive {
		g.Updates = append(g.Updates, e.Member)
		g.addCPUShares()
	}
	return g
}

// NextGossip returns the next message to send. It holds the updates that were sent
// least often and, if there is room, a random member.
func (t *Table) NextGossip() Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextGossip()
}

func (t *Table) nextGossip() Gossip {
	pending := make([]*entry, 0, len(t.members))
	for _, e := range t.members {
		if e.timesSent < maxUpdateSends {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int { return cmp.Compare(a.timesSent, b.timesSent) })
	// The age is read first, so that the version is at least the one that it is about.
	g := Gossip{Age: t.Age()}
	version := t.Version()
	g.From, g.Era, g.Return = t.localMember(version), version.Era, t.StoreReturn()
	for _, e := range pending[:min(len(pending), maxUpdatesPerMessage)] {
		e.timesSent++
		g.Updates = append(g.Updates, e.Member)
	}
	if e := t.randomMember(); e != nil && len(pending) < maxUpdatesPerMessage {
		g.Updates = append(g.Updates, e.Member)
	}
	g.Known, g.LimitAge = t.toldCount(), t.limitAge()
	g.addCPUShares()
	return g
}

// randomMember returns any member, so that updates that were lost are eventually
// sent again. It returns nil if there is none. The caller holds mu.
func (t *Table) randomMember() *entry {
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

// Receive merges a message that arrived directly from another member.
func (t *Table) Receive(g Gossip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeUpdate(g.From)
	if e := t.members[g.From.Name]; e != nil {
		e.LastSeen = t.now()
		e.Revision = g.From.Revision
	}
	for _, m := range g.Updates {
		t.mergeUpdate(m)
	}
	t.mergeCPUShares(g.CPUShares)
	t.mergeLimitAge(g.LimitAge)
	t.told = max(t.told, min(g.Known, maxToldMembers))
	t.publish()
}

// mergeUpdate applies an update if it is newer than the recorded state. The caller
// holds mu.
func (t *Table) mergeUpdate(m blackboard.Member) {
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
		e.LastSeen = t.now()
		t.members[m.Name] = e
		t.lastChange = t.now()
		return
	}
	e.Revision = max(e.Revision, m.Revision)
	if m.Incarnation < e.Incarnation || m.Incarnation == e.Incarnation && m.State <= e.State {
		return
	}
	t.applyUpdate(e, m)
}

func (t *Table) applyUpdate(e *entry, m blackboard.Member) {
	oldState, lastSeen := e.State, e.LastSeen
	restarted := m.Incarnation != e.Incarnation && m.State == blackboard.Alive && oldState > blackboard.Suspected
	revision := max(e.Revision, m.Revision)
	if m.CPUShare == 0 {
		m.CPUShare = e.CPUShare
	}
	e.Member = m
	e.LastSeen = lastSeen
	e.Revision = revision
	e.Since = t.now()
	e.timesSent = 0
	if oldState != m.State && m.State > blackboard.Suspected || restarted {
		t.lastChange = t.now()
	}
}

// refute raises this instance's incarnation above that of an update that reports
// this instance as not alive. A leaving instance does not refute. The caller holds
// mu.
func (t *Table) refute(m blackboard.Member) {
	if m.State == blackboard.Alive || m.Incarnation < t.self.Incarnation {
		return
	}
	if t.self.State != blackboard.Leaving {
		t.self.Incarnation = m.Incarnation + 1
	}
}

// MarkSuspected marks an alive member as suspected, since it did not reply to
// probes.
func (t *Table) MarkSuspected(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.members[name]; e != nil && e.State == blackboard.Alive {
		m := e.Member
		m.State = blackboard.Suspected
		t.applyUpdate(e, m)
		t.publish()
	}
}

// ExpireMembers declares members dead that were suspected for longer than
// suspectTimeout, and removes the records of members that left or died.
func (t *Table) ExpireMembers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for name, e := range t.members {
		age := now.Sub(e.Since)
		switch {
		case e.State == blackboard.Suspected && age > suspectTimeout:
			m := e.Member
			m.State = blackboard.Dead
			t.applyUpdate(e, m)
		case e.State == blackboard.Leaving && age > leavingMemberTTL,
			e.State == blackboard.Dead && age > deadMemberTTL:
			delete(t.members, name)
		}
	}
	t.publish()
}

// updateMajority updates majoritySince. This instance has a majority if more than
// half of the members are alive and have sent it a message within contactTimeout.
// It counts itself as such a member, and missing seeds as members that are not.
// The caller holds mu.
func (t *Table) updateMajority(missingSeeds int) {
	now := t.now()
	total, reachable := 1+missingSeeds, 1
	for _, e := range t.members {
		if e.State == blackboard.Leaving {
			continue
		}
		total++
		if e.State == blackboard.Alive && now.Sub(e.LastSeen) <= contactTimeout {
			reachable++
		}
	}
	switch {
	case 2*reachable <= total:
		t.majoritySince = time.Time{}
	case t.majoritySince.IsZero():
		t.majoritySince = now
	}
}

// publish writes the Members cell. The caller holds mu.
func (t *Table) publish() {
	view := &blackboard.Members{Self: t.self.Name, LastChange: t.lastChange, MissingSeeds: t.countMissingSeeds(), ToldCount: t.told}
	t.updateMajority(view.MissingSeeds)
	view.HasMajority, view.MajoritySince = !t.majoritySince.IsZero(), t.majoritySince
	view.List = append(view.List, t.localMember(t.Version()))
	for _, e := range t.members {
		view.List = append(view.List, e.Member)
	}
	slices.SortFunc(view.List, func(a, b blackboard.Member) int { return cmp.Compare(a.Name, b.Name) })
	t.board.Members.Store(view)
}
