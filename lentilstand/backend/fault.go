package backend

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lentilward.org/schema/standpb"
)

// Ledger returns a copy of the entries of all calls that reached the server.
func (s *Server) Ledger() []*standpb.LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]*standpb.LedgerEntry, 0, len(s.ledger))
	for _, e := range s.ledger {
		entries = append(entries, proto.CloneOf(e))
	}
	return entries
}

// Describe returns the server's configuration and how often it crashed.
func (s *Server) Describe() *standpb.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.Config.Group
	return &standpb.Server{
		Service: s.Config.Service, Address: s.Config.Address.String(), DataCentre: s.Config.DataCentre,
		Slots: g.Slots, Connections: g.Connections, ColdBears: g.ColdLimit, Shards: g.Shards,
		Crashes: s.crashes,
	}
}

// WarmUp ends the cold start immediately.
func (s *Server) WarmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = false
}

// Restart simulates a process restart: it closes the server and starts it again,
// cold, after downtime.
func (s *Server) Restart(downtime time.Duration) {
	s.restart(downtime)
}

// SlowDown multiplies service times by factor for the duration d.
func (s *Server) SlowDown(factor float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
	s.slowUntil = time.Now().Add(d)
}

// SetTailLatency multiplies the service times of a random share of runs by
// factor.
func (s *Server) SetTailLatency(share, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tailShare = share
	s.tailFactor = factor
}

// SetDraining sets whether the server is draining and refuses new calls.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.drainStart = time.Now()
}

// CorruptReplies makes search replies wrong in one part: "version", "matches" or
// "shard".
func (s *Server) CorruptReplies(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corruptPart = part
}

// PublishVersion adds an index version that has addedShards more shards than the
// newest one and removes the oldest above maxVersions.
func (s *Server) PublishVersion(addedShards uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.versions[len(s.versions)-1]
	s.versions = append(s.versions, version{number: last.number + 1, shards: last.shards + addedShards})
	if len(s.versions) > maxVersions {
		s.versions = s.versions[1:]
	}
}
