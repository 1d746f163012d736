package main

import (
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/holder"
	"lentilward.org/lentilward/mirror"
)

// fleetKey is the key under which the store remembers the number of instances, where they
// outnumber the connections that a server accepts.
const fleetKey = "lentilward/fleet"

// fleetRecord is the value of fleetKey. It lets instances that start at the same time
// agree on who holds connections before they know each other.
type fleetRecord struct {
	Instances   int            `json:"instances"`
	DataCentres map[string]int `json:"data-centres"`
	// Holders are the holders of all groups: they precede all other members in the order
	// of their groups, so that a plan of them alone is the plan of all.
	Holders []holder.Member `json:"holders"`

	revision uint64
}

// fleetSize counts the instances that share limits with this one.
type fleetSize struct {
	board   *blackboard.Board
	started time.Time
	// minInitial is the number of instances that are assumed at least during
	// discoveryPeriod.
	minInitial int
	// window returns the window over which the retry budget is counted.
	window func() time.Duration
	// record is what the store remembers; nil if it has no record.
	record atomic.Pointer[fleetRecord]
	// complete is set once this instance has known all members.
	complete atomic.Bool
}

func newFleetSize(board *blackboard.Board, minInitial int, window func() time.Duration) *fleetSize {
	return &fleetSize{board: board, started: time.Now(), minInitial: minInitial, window: window}
}

// mergeRecords takes the remembered size from changed records of the store.
func (f *fleetSize) mergeRecords(records []mirror.Record, log *slog.Logger) {
	for _, r := range records {
		if r.Key != fleetKey {
			continue
		}
		if r.Deleted {
			f.record.Store(nil)
			continue
		}
		record := &fleetRecord{revision: r.Revision}
		if err := json.Unmarshal(r.Value, record); err != nil {
			log.Error("record of the number of instances is malformed", "key", r.Key, "revision", r.Revision, "error", err)
			f.record.Store(&fleetRecord{revision: r.Revision})
			continue
		}
		log.Info("number of instances remembered by the store", "instances", record.Instances, "holders", len(record.Holders), "revision", r.Revision)
		f.record.Store(record)
	}
}

// size returns the number of instances, this one included. Members that left or
// died recently still count.
func (f *fleetSize) size() int {
	n := f.known()
	if time.Since(f.started) < discoveryPeriod {
		n = max(n, f.minInitial, f.board.Members.Load().ToldCount)
	}
	if record := f.missing(); record != nil {
		n = max(n, record.Instances)
	}
	return n
}

// known returns the number of instances that are recorded as members, this one included.
func (f *fleetSize) known() int {
	n := 1
	members := f.board.Members.Load()
	for _, m := range members.List {
		if m.Name != members.Self {
			n++
		}
	}
	return n
}

// remembered returns what the store remembers while this instance, after its start, may
// not know all members yet; otherwise nil.
func (f *fleetSize) remembered() *fleetRecord {
	record := f.record.Load()
	if record == nil || f.complete.Load() {
		return nil
	}
	if time.Since(f.started) > fleetRecoveryPeriod || f.known() >= record.Instances {
		f.complete.Store(true)
		return nil
	}
	return record
}

// missing returns what the store remembers while this instance knows fewer instances than
// are expected: few of them after its start, or less than half at any time, since it may
// be cut off from the others; otherwise nil.
func (f *fleetSize) missing() *fleetRecord {
	record, share := f.record.Load(), fleetMajorityShare
	if f.remembered() != nil {
		share = fleetKnownShare
	}
	if record == nil || float64(f.known()) >= share*float64(record.Instances) {
		return nil
	}
	return record
}

// share returns this instance's share of the slack of the retry budget. It is 0
// in the first window after the start, since the process that ran before may
// have used its whole share. Instances that are expected but were never reached
// count as well, since they may use theirs.
func (f *fleetSize) share() float64 {
	if time.Since(f.started) < f.window() {
		return 0
	}
	return 1 / float64(f.size()+f.board.Members.Load().MissingSeeds)
}
