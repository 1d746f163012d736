package backend

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lentilward.org/schema/standpb"
)

// Ledger returns a copy of what reached the server.
func (s *Server) Ledger() []*standpb.LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]*standpb.LedgerEntry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, proto.CloneOf(e))
	}
	return entries
}

// Describe returns the server's fixed figures and its crashes.
func (s *Server) Describe() *standpb.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.Site.Group
	return &standpb.Server{
		Service: s.Site.Service, Address: s.Site.Address.String(), DataCentre: s.Site.DataCentre,
		Slots: g.Slots, Connections: g.Connections, ColdBears: g.ColdBears, Shards: g.Shards,
		Crashes: s.crashes,
	}
}

// Warm ends the cold start at once.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = false
}

// Restart ends the server's process and starts it cold after down.
func (s *Server) Restart(down time.Duration) {
	s.restart(down)
}

// Slow makes runs factor times longer for a while.
func (s *Server) Slow(factor float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
	s.slowUntil = time.Now().Add(d)
}

// Tail makes a share of runs factor times longer.
func (s *Server) Tail(share, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tailShare = share
	s.tailFactor = factor
}

// Drain sets whether the server refuses new work.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
	s.drainBegin = time.Now()
}

// Corrupt makes replies wrong: in "version", "matches" or "shard".
func (s *Server) Corrupt(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = part
}

// Publish adds a version with more shards than the last and drops the oldest.
func (s *Server) Publish(moreShards uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.versions[len(s.versions)-1]
	s.versions = append(s.versions, version{number: last.number + 1, shards: last.shards + moreShards})
	if len(s.versions) > keptVersions {
		s.versions = s.versions[1:]
	}
}
