package main

import (
	"time"

	"lentilward.org/lentilward/blackboard"
)

// fleetSize counts the instances that share limits with this one.
type fleetSize struct {
	board   *blackboard.Board
	started time.Time
	// minInitial is the number of instances that are assumed at least during
	// discoveryPeriod.
	minInitial int
	// window returns the window over which the retry budget is counted.
	window func() time.Duration
}

func newFleetSize(board *blackboard.Board, minInitial int, window func() time.Duration) *fleetSize {
	return &fleetSize{board: board, started: time.Now(), minInitial: minInitial, window: window}
}

// size returns the number of instances, this one included. Members that left or
// died recently still count.
func (f *fleetSize) size() int {
	n := 1
	members := f.board.Members.Load()
	for _, m := range members.List {
		if m.Name != members.Self {
			n++
		}
	}
	if time.Since(f.started) < discoveryPeriod {
		n = max(n, f.minInitial)
	}
	return n
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
