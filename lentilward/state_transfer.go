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

// stateTransfer fetches from one peer, after the start, what gossip does not
// repeat: the requests during which connections to backend servers were lost
// before this process started.
type stateTransfer struct {
	board    *blackboard.Board
	suspects *suspect.List
	log      *slog.Logger
	// fetch fetches the records of a peer, including its suspect requests.
	fetch func(ctx context.Context, address netip.AddrPort) (peer.RecordsReply, error)
}

// run tries until a peer has answered or the context ends.
func (t stateTransfer) run(ctx context.Context) {
	for !t.fetchFromAnyMember(ctx) {
		select {
		case <-time.After(stateTransferInterval):
		case <-ctx.Done():
			return
		}
	}
}

// fetchFromAnyMember asks the members one after another until one answers, and
// reports whether one did.
func (t stateTransfer) fetchFromAnyMember(ctx context.Context) bool {
	for _, m := range t.board.Members.Load().AlivePeers() {
		call, cancel := context.WithTimeout(ctx, peerFetchTimeout)
		records, err := t.fetch(call, m.Address)
		cancel()
		if err != nil {
			t.log.Info("fetching state from a peer failed", "peer", m.Name, "error", err)
			continue
		}
		t.suspects.Merge(records.Suspects)
		t.log.Info("fetched state from a peer", "peer", m.Name, "suspects", len(records.Suspects))
		return true
	}
	return false
}
