// Package backend simulates backend servers: slots, connection limit and set-up
// delay, cold starts, stragglers, index versions, draining and crashes.
package backend

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilstand/corpus"
	"lentilward.org/lentilstand/site"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/standpb"
)

const (
	// restartDelay is the time from a crash until the server listens again.
	restartDelay = time.Second
	// coldSlowdown multiplies the service times of a cold server.
	coldSlowdown = 2
	// crashDelay is how long a query that crashes the server runs before the crash.
	crashDelay = 2 * time.Millisecond
	// maxVersions is the number of index versions that a server can search at once.
	maxVersions = 2
	// serviceTimeSigma is the standard deviation of the logarithm of service times.
	serviceTimeSigma = 0.25
	// maxStatusAge is the maximum age of the load in a status reply.
	maxStatusAge = time.Second
)

// version is one index version.
type version struct {
	number uint64
	shards uint32
}

// Server simulates one backend server.
type Server struct {
	backendpb.UnimplementedBackendServer
	Config       site.Server
	networkDelay time.Duration

	mu          sync.Mutex
	rand        *rand.Rand
	listener    *limitedListener
	grpcServer  *grpc.Server
	bootID      uint64
	warmRuns    uint32
	cold        bool
	draining    bool
	drainStart  time.Time
	inFlight    uint32
	slowFactor  float64
	slowUntil   time.Time
	tailShare   float64
	tailFactor  float64
	corruptPart string
	versions    []version
	ledger      []*standpb.LedgerEntry
	crashes     uint32
	sample      loadSample

	slots   chan struct{}
	stopped atomic.Bool
}

// loadSample is the load that status replies report, at most maxStatusAge old.
type loadSample struct {
	takenAt  time.Time
	inFlight uint32
}

// New returns a server that is not started yet. networkDelay is the one-way delay
// added to each call and reply.
func New(config site.Server, networkDelay time.Duration, seed uint64) *Server {
	return &Server{
		Config:       config,
		networkDelay: networkDelay,
		rand:         rand.New(rand.NewPCG(seed, uint64(config.Address.Port()))),
		versions:     []version{{number: 1, shards: config.Group.Shards}},
		slots:        make(chan struct{}, config.Group.Slots),
	}
}

// Start listens on the configured address and serves calls, as a cold server with
// a new boot id.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.Config.Address.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootID = s.rand.Uint64()
	s.cold = true
	s.warmRuns = 0
	s.inFlight = 0
	s.slots = make(chan struct{}, s.Config.Group.Slots)
	s.listener = newLimitedListener(l, int(s.Config.Group.Connections), time.Duration(s.Config.Group.ConnectDelay))
	s.grpcServer = grpc.NewServer()
	backendpb.RegisterBackendServer(s.grpcServer, s)
	go s.grpcServer.Serve(s.listener)
	return nil
}

// Stop closes the server and all its connections for good.
func (s *Server) Stop() {
	s.stopped.Store(true)
	s.mu.Lock()
	g := s.grpcServer
	s.mu.Unlock()
	g.Stop()
}

// restart closes the server and starts it again after downtime. Calls in flight
// are lost.
func (s *Server) restart(downtime time.Duration) {
	s.mu.Lock()
	g := s.grpcServer
	s.bootID = 0
	s.mu.Unlock()
	go func() {
		g.Stop()
		time.Sleep(downtime)
		if s.stopped.Load() {
			return
		}
		for s.Start() != nil {
			time.Sleep(restartDelay / 10)
		}
	}()
}

// Search runs one query on one shard. It fails if the server refuses the call, the
// call is cancelled or the server crashes.
func (s *Server) Search(ctx context.Context, r *backendpb.SearchRequest) (*backendpb.SearchReply, error) {
	sleep(ctx, s.networkDelay)
	e := &standpb.LedgerEntry{
		RequestId: r.RequestId, Service: r.Service, Version: r.Version, Shard: r.Shard,
		Query: r.Query, Instance: r.Instance,
	}
	v, reason := s.admit(e)
	if reason != backendpb.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		return nil, s.refuse(e, reason)
	}
	if err := s.run(ctx, e); err != nil {
		return nil, err
	}
	records := corpus.Shard(r.Service, r.Version, r.Query, r.Shard, v.shards)
	matches := make([]*backendpb.Match, 0, len(records))
	for _, m := range records {
		matches = append(matches, &backendpb.Match{Record: m.ID, Score: m.Score, Text: m.Text})
	}
	sleep(ctx, s.networkDelay)
	return s.buildReply(r, matches), nil
}

// buildReply returns a reply that repeats the request's identifiers, unless a
// fault corrupts a part of it.
func (s *Server) buildReply(r *backendpb.SearchRequest, matches []*backendpb.Match) *backendpb.SearchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &backendpb.SearchReply{
		RequestId: r.RequestId, Attempt: r.Attempt, Service: r.Service, Version: r.Version, Shard: r.Shard,
		Matches: matches, BootId: s.bootID, Draining: s.draining,
	}
	switch s.corruptPart {
	case "version":
		reply.Version++
	case "matches":
		if len(matches) > 0 {
			reply.Matches = matches[1:]
		}
	case "shard":
		reply.Shard++
	}
	return reply
}

// Execute runs one non-idempotent request. It fails as Search does.
func (s *Server) Execute(ctx context.Context, r *backendpb.ExecuteRequest) (*backendpb.ExecuteReply, error) {
	sleep(ctx, s.networkDelay)
	e := &standpb.LedgerEntry{RequestId: r.RequestId, Service: r.Service, Execute: true, Instance: r.Instance}
	if _, reason := s.admit(e); reason != backendpb.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		return nil, s.refuse(e, reason)
	}
	if err := s.run(ctx, e); err != nil {
		return nil, err
	}
	sleep(ctx, s.networkDelay)
	return &backendpb.ExecuteReply{RequestId: r.RequestId, Result: r.Payload, BootId: s.currentBootID()}, nil
}

// Status returns the index versions and the load of the server.
func (s *Server) Status(ctx context.Context, _ *backendpb.StatusRequest) (*backendpb.StatusReply, error) {
	sleep(ctx, s.networkDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.sample.takenAt) > maxStatusAge {
		s.sample = loadSample{takenAt: time.Now(), inFlight: s.inFlight}
	}
	reply := &backendpb.StatusReply{
		BootId: s.bootID, Draining: s.draining, Healthy: true, InFlight: s.sample.inFlight,
	}
	for _, v := range s.versions {
		reply.Versions = append(reply.Versions, &backendpb.Version{
			Service: s.Config.Service, Version: v.number, ShardCount: v.shards,
			Shards: s.Config.Group.HeldShards(s.Config.Index, v.shards),
		})
	}
	return reply, nil
}

// admit adds the call to the ledger and decides whether it may run; a reason other
// than unspecified refuses it.
func (s *Server) admit(e *standpb.LedgerEntry) (version, backendpb.RefusalReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	e.Server = s.Config.Address.String()
	e.DataCentre = s.Config.DataCentre
	e.StartUs = time.Now().UnixMicro()
	e.Cold = s.cold
	e.InFlight = s.inFlight
	e.Bears = s.Config.Group.ColdLimit
	s.ledger = append(s.ledger, e)
	if s.draining {
		e.DrainingUs = time.Since(s.drainStart).Microseconds()
		return version{}, backendpb.RefusalReason_REFUSAL_REASON_DRAINING
	}
	if e.Execute {
		return version{}, backendpb.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	}
	for _, v := range s.versions {
		if v.number == e.Version {
			e.ShardCount = v.shards
			return v, backendpb.RefusalReason_REFUSAL_REASON_UNSPECIFIED
		}
	}
	return version{}, backendpb.RefusalReason_REFUSAL_REASON_VERSION_UNKNOWN
}

// run occupies a slot for the service time. A call that exceeds the limit of a
// cold server, or a poison query, crashes the server instead.
func (s *Server) run(ctx context.Context, e *standpb.LedgerEntry) error {
	if e.Cold && e.InFlight > e.Bears || corpus.IsPoison(e.Query) {
		return s.crash(ctx, e)
	}
	s.mu.Lock()
	slots := s.slots
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		s.finish(e, "cancelled")
		return status.FromContextError(ctx.Err()).Err()
	}
	sleep(ctx, s.serviceTime())
	<-slots
	if ctx.Err() != nil {
		s.finish(e, "ran")
		return status.FromContextError(ctx.Err()).Err()
	}
	s.finish(e, "ran")
	return nil
}

// crash simulates a crash: it restarts the server, unless it is already down, and
// returns an error when the context of the call ends.
func (s *Server) crash(ctx context.Context, e *standpb.LedgerEntry) error {
	time.Sleep(crashDelay)
	s.finish(e, "crashed")
	s.mu.Lock()
	s.crashes++
	alreadyDown := s.bootID == 0
	s.mu.Unlock()
	if !alreadyDown {
		s.restart(restartDelay)
	}
	<-ctx.Done()
	return status.Error(codes.Unavailable, "server crashed")
}

// finish records the end of a call in its ledger entry. After enough runs a cold
// server becomes warm.
func (s *Server) finish(e *standpb.LedgerEntry, result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.EndUs = time.Now().UnixMicro()
	e.Result = result
	if s.inFlight > 0 {
		s.inFlight--
	}
	if result != "ran" || !s.cold {
		return
	}
	s.warmRuns++
	if s.warmRuns >= s.Config.Group.WarmRuns {
		s.cold = false
	}
}

func (s *Server) refuse(e *standpb.LedgerEntry, reason backendpb.RefusalReason) error {
	s.finish(e, "refused")
	st, err := status.New(codes.FailedPrecondition, reason.String()).WithDetails(
		&backendpb.Refusal{Reason: reason, BootId: s.currentBootID()})
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return st.Err()
}

func (s *Server) currentBootID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID
}

// serviceTime draws a service time from a log-normal distribution and applies the
// current slowdowns.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	nanos := float64(s.Config.Group.ServiceTime) * math.Exp(s.rand.NormFloat64()*serviceTimeSigma)
	if s.cold {
		nanos *= coldSlowdown
	}
	if time.Now().Before(s.slowUntil) {
		nanos *= s.slowFactor
	}
	if s.rand.Float64() < s.tailShare {
		nanos *= s.tailFactor
	}
	return time.Duration(nanos)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
