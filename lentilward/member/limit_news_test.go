package member

import (
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// Guards against news of limits that does not reach members that call none of the servers,
// or that goes round for ever once no server names a limit any more.
func TestNewsOfLimitsSpreadAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tables []*Table
		for _, name := range []string{"one", "two", "three"} {
			board := blackboard.New(blackboard.LocalInstance{Name: name, DataCentre: "z1"})
			tables = append(tables, NewTable(board, blackboard.Member{Name: name, Incarnation: 1, DataCentre: "z1"}, time.Now))
		}
		pass := func() {
			for i := range tables {
				tables[(i+1)%len(tables)].Receive(tables[i].NextGossip())
			}
		}
		named := true
		tables[0].NamesLimit = func() bool { return named }
		pass()
		for i, table := range tables {
			if !table.SeesLimits() {
				t.Errorf("member %d does not know of the limit", i)
			}
		}
		named = false
		for begin := time.Now(); time.Since(begin) < limitNewsTTL; time.Sleep(100 * time.Millisecond) {
			pass()
		}
		for i, table := range tables {
			if table.SeesLimits() {
				t.Errorf("member %d still counts on a limit that has ended", i)
			}
		}
	})
}
