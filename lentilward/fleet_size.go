package main

import (
	"time"

	"lentilward.org/lentilward/blackboard"
)

// fleetSize counts the instances that share limits.
type fleetSize struct {
	board *blackboard.Board
	began time.Time
	// first is the size that is believed while peers are still to be met.
	first int
	// window is the time in which limits count.
	window func() time.Duration
}

func newFleetSize(board *blackboard.Board, first int, window func() time.Duration) *fleetSize {
	return &fleetSize{board: board, began: time.Now(), first: first, window: window}
}

// size returns the number of instances, those included that were lost lately.
func (f *fleetSize) size() int {
	n := 1
	members := f.board.Members.Load()
	for _, m := range members.List {
		if m.Name != members.Self {
			n++
		}
	}
	if time.Since(f.began) < meetTime {
		n = max(n, f.first)
	}
	return n
}

// share returns this instance's part of what all may spend. A process that has
// just started has none for a window, since the one before it may have spent it
// all; and instances that were never met may spend theirs.
func (f *fleetSize) share() float64 {
	if time.Since(f.began) < f.window() {
		return 0
	}
	return 1 / float64(f.size()+f.board.Members.Load().Unmet)
}
