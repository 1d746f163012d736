package blackboard

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// nextRandomConfig returns a configuration that follows c by one random change.
func nextRandomConfig(t *rapid.T, c *Config) *Config {
	name := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "service"))
	id := fmt.Sprintf("c%d", c.Revision+1)
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		next := c.Next(Change{ID: id, Removed: name})
		delete(next.Services, name)
		return next
	case 1:
		next := c.Next(Change{ID: id})
		next.Withdrawn[name] = next.Revision
		return next
	case 2:
		next := c.Next(Change{ID: id})
		delete(next.Withdrawn, name)
		return next
	}
	next := c.Next(Change{ID: id})
	next.Services[name] = &Service{Name: name, Revision: next.Revision, ChangeID: id}
	return next
}

// An instance that receives deltas from any peers, in any order, with gaps and
// repeats, must never return to an older revision and must end with the
// configuration of its newest peer.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []*Config{{}}
		for range rapid.IntRange(1, 300).Draw(t, "changes") {
			versions = append(versions, nextRandomConfig(t, versions[len(versions)-1]))
		}
		board := New(LocalInstance{})
		for range rapid.IntRange(1, 40).Draw(t, "exchanges") {
			peer := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "peer")]
			old := board.Config.Load()
			if next := old.Apply(peer.DeltaFrom(old.Revision)); next != nil {
				board.Install(next)
			}
			if board.Config.Load().Revision != max(old.Revision, peer.Revision) {
				t.Fatalf("revision %d after a delta from revision %d to a peer's revision %d", board.Config.Load().Revision, old.Revision, peer.Revision)
			}
		}
		got := board.Config.Load()
		want := versions[got.Revision]
		if len(got.Services) != len(want.Services) || len(got.Withdrawn) != len(want.Withdrawn) {
			t.Fatalf("revision %d: got %d services, want %d", got.Revision, len(got.Services), len(want.Services))
		}
		for name, s := range want.Services {
			if got.Services[name] != s {
				t.Fatalf("service %s differs at revision %d", name, got.Revision)
			}
		}
		if len(got.History) > 0 && !reflect.DeepEqual(got.History[len(got.History)-1], want.History[len(want.History)-1]) {
			t.Fatalf("history differs at revision %d", got.Revision)
		}
	})
}

func TestInstallRejectsConfigThatIsNotNewer(t *testing.T) {
	b := New(LocalInstance{})
	newer := (&Config{}).Next(Change{}).Next(Change{})
	if !b.Install(newer) || b.Install((&Config{}).Next(Change{})) || b.Install(newer) {
		t.Fatal("installed a configuration that is not newer")
	}
	if got := b.Config.Load().Revision; got != 2 {
		t.Fatalf("revision %d in force, want 2", got)
	}
}

// When one member joins or leaves, only its share of the keys may change owner.
func TestMembershipChangeMovesOnlyItsShareOfKeys(t *testing.T) {
	const members, keys = 64, 6400
	all := &Members{}
	for i := range members {
		all.List = append(all.List, Member{Name: fmt.Sprintf("i%d", i)})
	}
	fewer := &Members{List: all.List[1:]}
	moved := 0
	for k := range keys {
		key := fmt.Sprint(k)
		before, _ := all.Owner(key)
		after, _ := fewer.Owner(key)
		if before.Name != after.Name {
			moved++
		}
	}
	if moved > 2*keys/members {
		t.Fatalf("%d of %d keys moved, want at most %d", moved, keys, 2*keys/members)
	}
}
