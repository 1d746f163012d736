package blackboard

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// MemberState is the state of a member as this instance sees it.
type MemberState uint8

// The member states. Of two updates with the same incarnation, the one with the
// larger state takes precedence.
const (
	Alive MemberState = iota
	Suspected
	Leaving
	Dead
)

// String returns the state in lower case.
func (s MemberState) String() string {
	return [...]string{"alive", "suspected", "leaving", "dead"}[s]
}

// Member is one instance of the system. It is encoded as an array to save bytes,
// since every probe carries several members.
type Member struct {
	_           struct{}       `cbor:",toarray"`
	Name        string         `cbor:"name"`
	Address     netip.AddrPort `cbor:"address"`
	DataCentre  string         `cbor:"data-centre"`
	Incarnation uint64         `cbor:"incarnation"`
	State       MemberState    `cbor:"state"`
	Revision    uint64         `cbor:"revision"`
	// CPUShare is the share of a core that the machine has; 0 if it is not known. Gossip
	// carries it beside the members, since older builds accept no further element.
	CPUShare float64 `cbor:"-"`
	// LastSeen is when this instance last received a message from the member, or
	// when it first received an update about it, whichever is later.
	LastSeen time.Time `cbor:"-"`
	// Since is when this instance last changed its record of the member's state.
	Since time.Time `cbor:"-"`
}

// Members is this instance's view of all instances, itself included.
type Members struct {
	Self string
	// List is sorted by name.
	List []Member
	// MissingSeeds is the number of seed addresses at which no member is recorded:
	// none was ever found there, or its record has expired.
	MissingSeeds int
	// ToldCount is the largest number of members that another instance has told; 0 if none
	// knows many.
	ToldCount int
	// HasMajority reports whether this instance recently received messages from
	// more than half of all instances, itself included. Members that left
	// gracefully are not counted; missing seeds are.
	HasMajority bool
	// MajoritySince is when HasMajority last became true.
	MajoritySince time.Time
	// LastChange is when a member last joined, left, was declared dead or
	// restarted.
	LastChange time.Time
}

// Find returns the member with this name and reports whether there is one.
func (m *Members) Find(name string) (Member, bool) {
	for _, member := range m.List {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// AlivePeers returns the other members that are alive.
func (m *Members) AlivePeers() []Member {
	return lo.Filter(m.List, func(member Member, _ int) bool { return member.Name != m.Self && member.State == Alive })
}

// ActiveCount returns the number of active members: those that are alive or
// suspected.
func (m *Members) ActiveCount() int {
	n := 0
	for _, member := range m.List {
		if member.isActive() {
			n++
		}
	}
	return n
}

// Owner returns the active member that owns a key by rendezvous hashing, and
// false if no member is active.
func (m *Members) Owner(key string) (Member, bool) {
	var best Member
	var bestHash uint64
	found := false
	for _, member := range m.List {
		if !member.isActive() {
			continue
		}
		if h := xxhash.Sum64String(member.Name + "\x00" + key); !found || h > bestHash {
			best, bestHash, found = member, h, true
		}
	}
	return best, found
}

func (m Member) isActive() bool {
	return m.State == Alive || m.State == Suspected
}

// Ranked returns the active members in the rendezvous hashing order of a key.
func (m *Members) Ranked(key string) []Member {
	active := lo.Filter(m.List, func(member Member, _ int) bool { return member.isActive() })
	slices.SortFunc(active, func(a, b Member) int {
		return cmp.Compare(xxhash.Sum64String(b.Name+"\x00"+key), xxhash.Sum64String(a.Name+"\x00"+key))
	})
	return active
}

// Rank returns how many other active members precede this instance in the
// rendezvous hashing order of a key; 0 if none does.
func (m *Members) Rank(key string) int {
	ownHash := xxhash.Sum64String(m.Self + "\x00" + key)
	rank := 0
	for _, member := range m.List {
		if member.Name != m.Self && member.isActive() && xxhash.Sum64String(member.Name+"\x00"+key) > ownHash {
			rank++
		}
	}
	return rank
}
