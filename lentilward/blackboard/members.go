package blackboard

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// MemberState is what an instance believes of another.
type MemberState uint8

// Member states; between equal incarnations the larger one wins.
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

// Member is one instance of the system. It travels as an array, since every
// probe carries several.
type Member struct {
	_           struct{}       `cbor:",toarray"`
	Name        string         `cbor:"name"`
	Address     netip.AddrPort `cbor:"address"`
	DataCentre  string         `cbor:"data-centre"`
	Incarnation uint64         `cbor:"incarnation"`
	State       MemberState    `cbor:"state"`
	Revision    uint64         `cbor:"revision"`
	// Heard is when the member last answered this instance.
	Heard time.Time `cbor:"-"`
	// Since is when its state last changed here.
	Since time.Time `cbor:"-"`
}

// Members is the view that an instance has of all instances, itself included.
type Members struct {
	Self string
	// List is sorted by name.
	List []Member
	// Unmet is the number of addresses at which an instance should be, though
	// none was met there, or none for long.
	Unmet int
	// Majority tells whether more than half of all members that have not left in
	// good order were heard lately, those included that were never met.
	Majority bool
	// MajoritySince is when Majority last became true.
	MajoritySince time.Time
	// Changed is when a member last joined or left.
	Changed time.Time
}

// Find returns the member of this name.
func (m *Members) Find(name string) (Member, bool) {
	for _, x := range m.List {
		if x.Name == name {
			return x, true
		}
	}
	return Member{}, false
}

// Others returns the other members that are alive.
func (m *Members) Others() []Member {
	return lo.Filter(m.List, func(x Member, _ int) bool { return x.Name != m.Self && x.State == Alive })
}

// Live returns the number of members that take work.
func (m *Members) Live() int {
	n := 0
	for _, x := range m.List {
		if x.takesWork() {
			n++
		}
	}
	return n
}

// Owner returns the member that owns a key by rendezvous hashing, and false
// if no member takes work.
func (m *Members) Owner(key string) (Member, bool) {
	var best Member
	var bestHash uint64
	found := false
	for _, x := range m.List {
		if !x.takesWork() {
			continue
		}
		if h := xxhash.Sum64String(x.Name + "\x00" + key); !found || h > bestHash {
			best, bestHash, found = x, h, true
		}
	}
	return best, found
}

func (m Member) takesWork() bool {
	return m.State == Alive || m.State == Suspected
}

// Rank returns this instance's place among the members in the order in which
// they hash with a key.
func (m *Members) Rank(key string) int {
	own := xxhash.Sum64String(m.Self + "\x00" + key)
	rank := 0
	for _, x := range m.List {
		if x.Name != m.Self && x.takesWork() && xxhash.Sum64String(x.Name+"\x00"+key) > own {
			rank++
		}
	}
	return rank
}
