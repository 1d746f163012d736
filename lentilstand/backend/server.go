// Package backend is the stand-in for backend servers: slots, connection
// limit and cost, cold starts, stragglers, versions, drain and crashes.
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
	// downTime is how long a crashed server stays away.
	downTime = time.Second
	// coldFactor is how much slower a cold server runs.
	coldFactor = 2
	// poisonDelay is how long a poison query runs before the crash.
	poisonDelay = 2 * time.Millisecond
	// keptVersions is the number of versions that a server can search.
	keptVersions = 2
	// spread is the standard deviation of the logarithm of service times.
	spread = 0.25
	// statusLag is the age of the figures in a status reply.
	statusLag = time.Second
)

// version is one index version.
type version struct {
	number uint64
	shards uint32
}

// Server is one stand-in backend server.
type Server struct {
	backendpb.UnimplementedBackendServer
	Site  site.Server
	delay time.Duration

	mu         sync.Mutex
	rand       *rand.Rand
	listener   *limitedListener
	grpc       *grpc.Server
	bootID     uint64
	warmRuns   uint32
	cold       bool
	draining   bool
	drainBegin time.Time
	inFlight   uint32
	slowFactor float64
	slowUntil  time.Time
	tailShare  float64
	tailFactor float64
	corrupt    string
	versions   []version
	entries    []*standpb.LedgerEntry
	crashes    uint32
	health     health

	slots   chan struct{}
	stopped atomic.Bool
}

// health is what a status reply says, at most statusLag old.
type health struct {
	at       time.Time
	inFlight uint32
}

// New returns a server that listens once started.
func New(s site.Server, delay time.Duration, seed uint64) *Server {
	return &Server{
		Site:     s,
		delay:    delay,
		rand:     rand.New(rand.NewPCG(seed, uint64(s.Address.Port()))),
		versions: []version{{number: 1, shards: s.Group.Shards}},
		slots:    make(chan struct{}, s.Group.Slots),
	}
}

// Start listens and serves with a cold start.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.Site.Address.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootID = s.rand.Uint64()
	s.cold = true
	s.warmRuns = 0
	s.inFlight = 0
	s.slots = make(chan struct{}, s.Site.Group.Slots)
	s.listener = newLimitedListener(l, int(s.Site.Group.Connections), time.Duration(s.Site.Group.ConnectCost))
	s.grpc = grpc.NewServer()
	backendpb.RegisterBackendServer(s.grpc, s)
	go s.grpc.Serve(s.listener)
	return nil
}

// Stop ends the server and all its connections.
func (s *Server) Stop() {
	s.stopped.Store(true)
	s.mu.Lock()
	g := s.grpc
	s.mu.Unlock()
	g.Stop()
}

// restart ends the process of the server and starts it again after down. All
// that it ran is lost.
func (s *Server) restart(down time.Duration) {
	s.mu.Lock()
	g := s.grpc
	s.bootID = 0
	s.mu.Unlock()
	go func() {
		g.Stop()
		time.Sleep(down)
		if s.stopped.Load() {
			return
		}
		for s.Start() != nil {
			time.Sleep(downTime / 10)
		}
	}()
}

// Search runs one query on one shard.
func (s *Server) Search(ctx context.Context, r *backendpb.SearchRequest) (*backendpb.SearchReply, error) {
	sleep(ctx, s.delay)
	e := &standpb.LedgerEntry{
		RequestId: r.RequestId, Service: r.Service, Version: r.Version, Shard: r.Shard,
		Query: r.Query, Instance: r.Instance,
	}
	v, reason := s.arrive(e)
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
	sleep(ctx, s.delay)
	return s.reply(r, matches), nil
}

// reply answers with what the request named, unless a fault corrupts it.
func (s *Server) reply(r *backendpb.SearchRequest, matches []*backendpb.Match) *backendpb.SearchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &backendpb.SearchReply{
		RequestId: r.RequestId, Attempt: r.Attempt, Service: r.Service, Version: r.Version, Shard: r.Shard,
		Matches: matches, BootId: s.bootID, Draining: s.draining,
	}
	switch s.corrupt {
	case "version":
		p.Version++
	case "matches":
		if len(matches) > 0 {
			p.Matches = matches[1:]
		}
	case "shard":
		p.Shard++
	}
	return p
}

// Execute runs one non-idempotent request.
func (s *Server) Execute(ctx context.Context, r *backendpb.ExecuteRequest) (*backendpb.ExecuteReply, error) {
	sleep(ctx, s.delay)
	e := &standpb.LedgerEntry{RequestId: r.RequestId, Service: r.Service, Execute: true, Instance: r.Instance}
	if _, reason := s.arrive(e); reason != backendpb.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		return nil, s.refuse(e, reason)
	}
	if err := s.run(ctx, e); err != nil {
		return nil, err
	}
	sleep(ctx, s.delay)
	return &backendpb.ExecuteReply{RequestId: r.RequestId, Result: r.Payload, BootId: s.boot()}, nil
}

// Status tells versions and load.
func (s *Server) Status(ctx context.Context, _ *backendpb.StatusRequest) (*backendpb.StatusReply, error) {
	sleep(ctx, s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.health.at) > statusLag {
		s.health = health{at: time.Now(), inFlight: s.inFlight}
	}
	reply := &backendpb.StatusReply{
		BootId: s.bootID, Draining: s.draining, Healthy: true, InFlight: s.health.inFlight,
	}
	for _, v := range s.versions {
		reply.Versions = append(reply.Versions, &backendpb.Version{
			Service: s.Site.Service, Version: v.number, ShardCount: v.shards,
			Shards: s.Site.Group.Holds(s.Site.Index, v.shards),
		})
	}
	return reply, nil
}

// arrive writes the call into the ledger and decides whether it may run.
func (s *Server) arrive(e *standpb.LedgerEntry) (version, backendpb.RefusalReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	e.Server = s.Site.Address.String()
	e.DataCentre = s.Site.DataCentre
	e.StartUs = time.Now().UnixMicro()
	e.Cold = s.cold
	e.InFlight = s.inFlight
	e.Bears = s.Site.Group.ColdBears
	s.entries = append(s.entries, e)
	if s.draining {
		e.DrainingUs = time.Since(s.drainBegin).Microseconds()
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

// run takes a slot and the service time.
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
		s.end(e, "cancelled")
		return status.FromContextError(ctx.Err()).Err()
	}
	sleep(ctx, s.serviceTime())
	<-slots
	if ctx.Err() != nil {
		s.end(e, "ran")
		return status.FromContextError(ctx.Err()).Err()
	}
	s.end(e, "ran")
	return nil
}

// crash ends the server as an overload or a poison query does.
func (s *Server) crash(ctx context.Context, e *standpb.LedgerEntry) error {
	time.Sleep(poisonDelay)
	s.end(e, "crashed")
	s.mu.Lock()
	s.crashes++
	already := s.bootID == 0
	s.mu.Unlock()
	if !already {
		s.restart(downTime)
	}
	<-ctx.Done()
	return status.Error(codes.Unavailable, "server crashed")
}

// end writes the end of a call and counts it towards warmth.
func (s *Server) end(e *standpb.LedgerEntry, result string) {
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
	if s.warmRuns >= s.Site.Group.WarmRuns {
		s.cold = false
	}
}

func (s *Server) refuse(e *standpb.LedgerEntry, reason backendpb.RefusalReason) error {
	s.end(e, "refused")
	st, err := status.New(codes.FailedPrecondition, reason.String()).WithDetails(
		&backendpb.Refusal{Reason: reason, BootId: s.boot()})
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return st.Err()
}

func (s *Server) boot() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID
}

// serviceTime draws how long one run takes.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := float64(s.Site.Group.ServiceTime) * math.Exp(s.rand.NormFloat64()*spread)
	if s.cold {
		t *= coldFactor
	}
	if time.Now().Before(s.slowUntil) {
		t *= s.slowFactor
	}
	if s.rand.Float64() < s.tailShare {
		t *= s.tailFactor
	}
	return time.Duration(t)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
