package member

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
)

// oldGossip and oldMember are the message as builds without shares of a core have it.
type oldGossip struct {
	From    oldMember     `cbor:"from"`
	Updates []oldMember   `cbor:"news"`
	Age     time.Duration `cbor:"age,omitempty"`
}

type oldMember struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Address     netip.AddrPort
	DataCentre  string
	Incarnation uint64
	State       blackboard.MemberState
	Revision    uint64
}

// oldBytes is a message that was encoded by the build of commit 9749403: from one, with
// an update about two.
const oldBytes = "a36466726f6d86636f6e65460a000001a61f627a3107001829646e65777381866374776f460a000002a61f627a3206011828636167651a3b9aca00"

func newShareTable(name string, share float64) *Table {
	self := blackboard.Member{Name: name, Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "z1", Incarnation: 5, CPUShare: share}
	return NewTable(blackboard.New(blackboard.LocalInstance{Name: name}), self, time.Now)
}

// Guards against messages that an older build can't decode, and against one that misreads
// them.
func TestOlderBuildDecodesGossipWithCPUShares(t *testing.T) {
	one, two := newShareTable("one", 0.134), newShareTable("two", 0.8)
	one.Receive(two.NextGossip())
	data, err := cbor.Marshal(one.NextGossip())
	if err != nil {
		t.Fatal(err)
	}
	var got oldGossip
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if got.From.Name != "one" || got.From.Incarnation != 5 || len(got.Updates) == 0 || got.Updates[0].Name != "two" {
		t.Fatalf("an older build reads %+v", got)
	}
}

// Guards against members of an older build that are not accepted, and against losing the
// share of a member because an older build passes on an update about it.
func TestGossipOfAnOlderBuildIsAccepted(t *testing.T) {
	data, err := hex.DecodeString(oldBytes)
	if err != nil {
		t.Fatal(err)
	}
	var g Gossip
	if err := cbor.Unmarshal(data, &g); err != nil {
		t.Fatal(err)
	}
	three := newShareTable("three", 0.134)
	three.Receive(g)
	members := three.board.Members.Load()
	one, found := members.Find("one")
	two, foundTwo := members.Find("two")
	if !found || !foundTwo || one.CPUShare != 0 || two.CPUShare != 0 || one.Incarnation != 7 || two.State != blackboard.Suspected {
		t.Fatalf("members %+v", members.List)
	}
	withShare := Gossip{From: blackboard.Member{Name: "one", Incarnation: 7, DataCentre: "z1"}, CPUShares: map[string]uint32{"one": 800, "two": 134}}
	three.Receive(withShare)
	g.From.Incarnation = 9
	three.Receive(g)
	members = three.board.Members.Load()
	one, _ = members.Find("one")
	two, _ = members.Find("two")
	if one.CPUShare != 0.8 || two.CPUShare != 0.134 || one.Incarnation != 9 {
		t.Fatalf("members %+v", members.List)
	}
}

// Guards against a message that grows where no instance tells its share.
func TestGossipWithoutCPUSharesStaysAsItIs(t *testing.T) {
	one := newShareTable("one", 0)
	g := one.NextGossip()
	data, err := cbor.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	from := oldMember{Name: g.From.Name, Address: g.From.Address, DataCentre: g.From.DataCentre, Incarnation: g.From.Incarnation}
	want, err := cbor.Marshal(oldGossip{From: from})
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want) {
		t.Fatalf("encoded as %x, by an older build as %x", data, want)
	}
}

// Guards against shares that do not reach members through others.
func TestCPUSharesArePassedOn(t *testing.T) {
	one, two, three := newShareTable("one", 0.134), newShareTable("two", 0.8), newShareTable("three", 0)
	two.Receive(one.NextGossip())
	three.Receive(two.NextGossip())
	members := three.board.Members.Load()
	m, found := members.Find("one")
	if !found || m.CPUShare != 0.134 {
		t.Fatalf("member %+v", m)
	}
}
