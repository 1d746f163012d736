package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
)

func newSizedTable(name string, members int) *Table {
	t := newShareTable(name, 0.5)
	var g Gossip
	for i := range members - 1 {
		g.From = blackboard.Member{
			Name: fmt.Sprint("m", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80), DataCentre: "z1",
		}
		t.Receive(g)
	}
	return t
}

// Guards against instances that start together and know a part of each other for many
// seconds: those that know most tell the others at once.
func TestStartingInstanceCatchesUpInFewMessages(t *testing.T) {
	for _, members := range []int{111, 870} {
		seed, started := newSizedTable("seed", members), newShareTable("started", 0.1)
		messages := 0
		for ; messages == 0 || started.IsBehind(seed.NextGossip()); messages++ {
			started.Receive(seed.ReplyTo(started.NextGossip()))
			if messages > 20 {
				t.Fatalf("%d members known after %d messages", len(started.board.Members.Load().List), messages)
			}
		}
		t.Logf("%d messages for %d of %d members", messages, len(started.board.Members.Load().List), members)
		if told := started.board.Members.Load().ToldCount; told < members {
			t.Errorf("%d members told, want %d", told, members)
		}
	}
}

// Guards against larger messages in small fleets, between instances that know the same
// members, and to builds that do not tell how many they know.
func TestRepliesStaySmallOtherwise(t *testing.T) {
	for name, c := range map[string]struct{ seed, other *Table }{
		"small":        {newSizedTable("seed", 31), newShareTable("other", 0)},
		"same members": {newSizedTable("seed", 111), newSizedTable("other", 111)},
	} {
		g := c.other.NextGossip()
		if n := len(c.seed.ReplyTo(g).Updates); n > maxUpdatesPerMessage+1 {
			t.Errorf("%s: %d updates in a reply", name, n)
		}
	}
	old := Gossip{From: blackboard.Member{Name: "old"}}
	if n := len(newSizedTable("seed", 111).ReplyTo(old).Updates); n > maxUpdatesPerMessage+1 {
		t.Errorf("%d updates in a reply to an older build", n)
	}
	if g := newSizedTable("small", 31).NextGossip(); g.Known != 0 {
		t.Errorf("a small fleet tells its size %d", g.Known)
	}
}

// Guards against a message with many members that an older build does not read.
func TestOlderBuildDecodesReplyWithManyMembers(t *testing.T) {
	seed := newSizedTable("seed", 111)
	data, err := cbor.Marshal(seed.ReplyTo(Gossip{From: blackboard.Member{Name: "new"}, Known: 2}))
	if err != nil {
		t.Fatal(err)
	}
	var got oldGossip
	if err := cbor.Unmarshal(data, &got); err != nil || len(got.Updates) < 100 {
		t.Fatalf("an older build reads %d updates, %v", len(got.Updates), err)
	}
	t.Logf("%d bytes for %d members", len(data), len(got.Updates))
}

// Guards against a wrong count of one instance that others believe for ever.
func TestToldCountIsBounded(t *testing.T) {
	table := newShareTable("one", 0)
	table.Receive(Gossip{From: blackboard.Member{Name: "bad", Incarnation: uint64(time.Now().UnixMilli())}, Known: 1 << 40})
	if n := table.board.Members.Load().ToldCount; n != maxToldMembers {
		t.Fatalf("told %d", n)
	}
}
