package main

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/mirror"
)

// setMembers makes this instance know n members, itself included.
func setMembers(b *blackboard.Board, n int) {
	view := &blackboard.Members{Self: "n0"}
	for i := range n {
		view.List = append(view.List, blackboard.Member{Name: fmt.Sprint("n", i), DataCentre: "z1"})
	}
	b.Members.Store(view)
}

func newRememberedFleet(value string, members int) (*blackboard.Board, *fleetSize) {
	b := blackboard.New(blackboard.LocalInstance{Name: "n0"})
	setMembers(b, members)
	f := newFleetSize(b, 4, func() time.Duration { return 10 * time.Second })
	if value != "" {
		f.mergeRecords([]mirror.Record{{Key: fleetKey, Value: []byte(value), Revision: 7}}, slog.New(slog.DiscardHandler))
	}
	return b, f
}

// Guards against an instance that believes after a common start, or when it is cut off,
// that there are few.
func TestRememberedSizeCountsWhileMembersAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, f := newRememberedFleet(`{"instances":111,"data-centres":{"z1":37}}`, 1)
		if f.size() != 111 || f.remembered() == nil {
			t.Fatalf("size %d at the start", f.size())
		}
		time.Sleep(10 * time.Second)
		setMembers(b, 90)
		if f.size() != 111 {
			t.Fatalf("size %d with 90 members", f.size())
		}
		setMembers(b, 105)
		if f.size() != 105 || f.remembered() == nil {
			t.Fatalf("size %d with 105 members", f.size())
		}
		setMembers(b, 111)
		if f.size() != 111 || f.remembered() != nil {
			t.Fatalf("size %d with all members", f.size())
		}
		setMembers(b, 40)
		if f.size() != 111 || f.remembered() != nil {
			t.Fatalf("size %d after most members were lost", f.size())
		}
		time.Sleep(2 * time.Minute)
		setMembers(b, 60)
		if f.size() != 60 {
			t.Fatalf("size %d of a fleet that has shrunk", f.size())
		}
	})
}

// Guards against a record that can't be read and takes the instance down or counts as
// something.
func TestMalformedRecordOfTheFleetIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, value := range []string{"", "x", `{"instances":"many"}`, `{"instances":-5}`} {
			if _, f := newRememberedFleet(value, 3); f.size() != 4 {
				t.Errorf("record %q: size %d", value, f.size())
			}
		}
	})
}
