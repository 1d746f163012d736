package main

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/suspect"
)

// introduction learns from the first peer that is met what peers tell only once:
// the requests that backend servers were lost with before this process began.
type introduction struct {
	board    *blackboard.Board
	suspects *suspect.List
	log      *slog.Logger
	// ask asks a peer what it knows.
	ask func(ctx context.Context, address netip.AddrPort) (peer.Knowledge, error)
}

// run ends once a peer has answered, or with the context.
func (i introduction) run(ctx context.Context) {
	for !i.askAll(ctx) {
		select {
		case <-time.After(introducePeriod):
		case <-ctx.Done():
			return
		}
	}
}

// askAll asks the members until one answers.
func (i introduction) askAll(ctx context.Context) bool {
	for _, m := range i.board.Members.Load().Others() {
		call, cancel := context.WithTimeout(ctx, firstContact)
		known, err := i.ask(call, m.Address)
		cancel()
		if err != nil {
			i.log.Info("cannot be introduced", "peer", m.Name, "error", err)
			continue
		}
		i.suspects.Merge(known.Suspects)
		i.log.Info("introduced", "peer", m.Name, "suspects", len(known.Suspects))
		return true
	}
	return false
}
