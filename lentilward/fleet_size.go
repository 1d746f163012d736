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
}

func newFleetSize(board *blackboard.Board, first int) *fleetSize {
	return &fleetSize{board: board, began: time.Now(), first: first}
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
// just started does not know what the one before it has spent.
func (f *fleetSize) share() float64 {
	ramp := min(1, float64(time.Since(f.began))/float64(shareRamp))
	return ramp / float64(f.size())
}
