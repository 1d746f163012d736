package rollout

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"lentilward.org/schema/domain"
)

// Guards against a sum of permits above what the record states, where replies are lost,
// permits expire, and processes restart in any order.
func TestLedgerKeepsTheSum(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		l := newLedger(0)
		type holder struct {
			sequence   uint64
			used, held int
		}
		holders := make([]holder, 5)
		used, incarnations := 0, make([]uint64, 5)
		for range 300 {
			if random.IntN(10) == 0 {
				l.recorded += random.IntN(5)
			}
			i := random.IntN(len(holders))
			h := &holders[i]
			switch random.IntN(6) {
			case 0:
				*h = holder{}
				incarnations[i]++
			case 1:
				h.held = 0
			case 2:
				if h.held > 0 {
					h.held, h.used, used = h.held-1, h.used+1, used+1
				}
			default:
				h.sequence++
				p := process{fmt.Sprint(i), incarnations[i]}
				if !l.update(p, h.sequence, h.used, h.held) {
					t.Fatal("a report was taken for an old one")
				}
				granted := l.grant(p, random.IntN(4))
				if random.IntN(3) > 0 {
					h.held += granted
				}
			}
			sum := used
			for _, h := range holders {
				sum += h.held
			}
			if sum > l.recorded || l.committed() > l.recorded {
				t.Fatalf("%d are used or held, %d committed, of %d", sum, l.committed(), l.recorded)
			}
		}
	}
}

// Guards against permits of an earlier controller that are handed out again.
func TestLedgerOfSecondControllerCountsAllOfTheFirst(t *testing.T) {
	l := newLedger(10)
	p := process{"a", 1}
	l.update(p, 7, 3, 2)
	if n := l.grant(p, 5); n != 0 {
		t.Errorf("%d permits were granted of none", n)
	}
	l.recorded = 12
	if n := l.grant(p, 5); n != 2 {
		t.Errorf("%d permits were granted of 2", n)
	}
}

// Guards against reports that were overtaken by a later one of the same process.
func TestLedgerIgnoresLateReports(t *testing.T) {
	l := newLedger(0)
	p := process{"a", 1}
	if !l.update(p, 2, 0, 0) || l.update(p, 1, 0, 0) || l.update(p, 2, 0, 0) {
		t.Error("a late report was taken over")
	}
}

func testState(now time.Time) State {
	return State{
		Service: "s", Present: "v1",
		Order: Order{RolloutOrder: domain.RolloutOrder{Service: "s", Target: "v2", Duration: 12 * time.Second}, Revision: 5, KnownAt: now},
	}
}

func newTestController(s State, now time.Time) *Controller {
	return NewController("i-1", s, Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, slog.New(slog.DiscardHandler), now)
}

// Guards against permits that are handed out before the record states them.
func TestNoPermitsBeforeTheRecordIsWritten(t *testing.T) {
	now := time.Now()
	c := newTestController(testState(now), now)
	report := Report{Service: "s", Order: 5, Instance: "i-2", Sequence: 1, Wanted: 1, Requests: 100}
	if reply := c.HandleReport(report, now); reply.Granted != 0 {
		t.Errorf("%d permits without a record", reply.Granted)
	}
	record, due := c.Step(now, []string{"i-1"}, 3)
	if !due || record.Exposed == 0 || record.State != domain.RolloutRunning || record.Present != "v1" {
		t.Fatalf("record %+v, due %v", record, due)
	}
	c.Written(record, 9, now)
	report.Sequence = 2
	if reply := c.HandleReport(report, now); reply.Granted != 1 {
		t.Errorf("%d permits of 1", reply.Granted)
	}
	report.Sequence, report.Order = 3, 4
	if reply := c.HandleReport(report, now); reply.Granted != 0 {
		t.Error("a report on another order got permits")
	}
}

// Guards against a rollout that nobody judges: no request comes, so that it must be rolled
// back before the deadline.
func TestUndecidedIsRolledBack(t *testing.T) {
	now := time.Now()
	c := newTestController(testState(now), now)
	for elapsed := time.Duration(0); elapsed <= 12*time.Second; elapsed += 100 * time.Millisecond {
		at := now.Add(elapsed)
		if record, due := c.Step(at, []string{"i-1"}, 3); due {
			c.Written(record, c.Revision()+1, at)
		}
	}
	if !c.IsDone() || c.Phase() != RolledBack {
		t.Errorf("phase %v", c.Phase())
	}
}

// Guards against an order whose deadline is found wrong by a process that was started later
// and whose time of day has jumped.
func TestBeginOfAnOrderThatCameBeforeTheProcess(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name      string
		byClock   time.Duration
		elapsedMs int64
		want      time.Duration
	}{
		{"the time of day tells more than the record", 7 * time.Second, 5000, 7 * time.Second},
		{"jumped back", -time.Hour, 5000, 5 * time.Second},
		{"jumped ahead", time.Hour, 5000, 5 * time.Second},
	} {
		s := testState(now)
		s.Order.Late = true
		s.Record = RecordState{Revision: 8, KnownAt: now, RolloutRecord: domain.RolloutRecord{
			OrderRevision: 5, State: domain.RolloutRunning, ElapsedMs: c.elapsedMs, BegunAtMs: now.Add(-c.byClock).UnixMilli(),
		}}
		if got := now.Sub(begunAt(s, now)).Round(10 * time.Millisecond); got != c.want {
			t.Errorf("%s: begun %v ago, want %v", c.name, got, c.want)
		}
	}
}
