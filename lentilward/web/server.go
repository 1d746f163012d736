// Package web serves the requests of callers over HTTP/1.1.
package web

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/memory"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/schema/domain"
)

const (
	// headerTimeout bounds the time that the header of a request may take to
	// arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the time for which callers keep idle connections.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// noConfigurationRetryDelay is the Retry-After of refusals because of a
	// configuration that is missing, may be out of date, or gives the route no
	// service.
	noConfigurationRetryDelay = 300 * time.Millisecond
)

// Format decodes the requests of callers and encodes answers and refusals.
type Format struct {
	DecodeRequest func(*http.Request) *domain.Request
	EncodeAnswer  func(http.Header, *domain.Answer) (status int, body []byte)
	EncodeRefusal func(http.Header, *domain.Refusal) (status int, body []byte)
	// SetTenant replaces what the caller says of its identity by the name of a tenant;
	// an empty name states none.
	SetTenant func(r *domain.Request, name string)
}

// Server handles the requests of callers over HTTP.
type Server struct {
	format    Format
	directory *directory.Directory
	engine    *scatter.Engine
	log       *slog.Logger
	inFlight  atomic.Int32
	stopping  atomic.Bool
	// bodiesContext ends when a stopping server waits for no body any more.
	bodiesContext context.Context
	endBodies     context.CancelFunc

	// Memory bounds the bytes of the requests that are held. nil sets no bound.
	Memory *memory.Limit
	// IsConfigurationCurrent reports whether the latest snapshot is known to have the
	// newest configuration.
	IsConfigurationCurrent func() bool
	// AdmitsKeys reports, as a request arrives, whether the keys of the snapshot that is then
	// in force can be trusted: none was withdrawn too long before.
	AdmitsKeys func() bool
	// ConfigurationAge returns how long ago the configuration in force was last
	// confirmed to be the newest.
	ConfigurationAge func() time.Duration
	// RecordVersion returns the version of the store's records that are at hand, for the log.
	RecordVersion func() string
	// IsPoison reports whether a request of a tenant, or of none if that is empty, is known
	// to crash backend servers. StartTrial asks whether it may run once nevertheless, until
	// the deadline. If so, end must be called with whether it may have run; else end is nil,
	// and the request may be sent again after a time.
	IsPoison   func(r *domain.Request, tenant string) bool
	StartTrial func(ctx context.Context, r *domain.Request, tenant string, deadline time.Time) (end func(ran bool), retryAfter time.Duration)
	// Allow reports whether a tenant may send a request, and otherwise when it may. nil
	// allows all.
	Allow func(ctx context.Context, tenant *domain.Tenant) (retryAfter time.Duration, ok bool)
	// OnRequestEnd is called after each request.
	OnRequestEnd func(RequestResult)
}

// RequestResult describes how a request ended: its route, tenant, duration and cost, and
// the refusal, or nil if it was answered. Tenant is nil if the request has none, or was
// refused before the tenant was allowed to send it.
type RequestResult struct {
	Route    string
	Tenant   *domain.Tenant
	Duration time.Duration
	Stats    scatter.Stats
	Refusal  *domain.Refusal
	// Transit is the time on the network that the answer allows for.
	Transit time.Duration
}

// New returns a server; its function fields may be replaced before it serves.
func New(format Format, d *directory.Directory, e *scatter.Engine, log *slog.Logger) *Server {
	bodiesContext, endBodies := context.WithCancel(context.Background())
	return &Server{
		bodiesContext: bodiesContext, endBodies: endBodies,
		format: format, directory: d, engine: e, log: log,
		IsConfigurationCurrent: func() bool { return true }, ConfigurationAge: func() time.Duration { return 0 }, OnRequestEnd: func(RequestResult) {},
		RecordVersion: func() string { return "" },
		AdmitsKeys:    func() bool { return true },
		IsPoison:      func(*domain.Request, string) bool { return false },
		StartTrial:    func(context.Context, *domain.Request, string, time.Time) (func(bool), time.Duration) { return nil, 0 },
	}
}

// HTTP returns the HTTP server that serves callers.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
}

// Stop makes the server close each connection after its next answer, and answer each
// request by lastAnswer at the latest: one whose body is not complete then is refused.
func (s *Server) Stop(lastAnswer time.Time) {
	s.stopping.Store(true)
	time.AfterFunc(time.Until(lastAnswer), s.endBodies)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int32 { return s.inFlight.Load() }

// AwaitIdle waits until no request has been in flight for the quiet period, and then
// lets no other be passed on. It returns the error of the context if that ends first.
func (s *Server) AwaitIdle(ctx context.Context, quiet time.Duration) error {
	tick := time.NewTicker(quiet / idleChecksPerQuietPeriod)
	defer tick.Stop()
	idleSince := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			if s.InFlight() > 0 {
				idleSince = now
			} else if now.Sub(idleSince) >= quiet && s.inFlight.CompareAndSwap(0, sealed) {
				return nil
			}
		}
	}
}

// sealed is the number of requests in flight of a server that has stopped, far enough
// below 0 that later requests do not bring it back.
const sealed = math.MinInt32 / 2

// idleChecksPerQuietPeriod is how often AwaitIdle looks in one quiet period.
const idleChecksPerQuietPeriod = 10

// ServeHTTP answers one request. If the caller has closed its connection, it
// aborts the connection and writes no answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	defer s.inFlight.Add(-1)
	stopped := s.inFlight.Add(1) <= 0
	defer requestHold(r).Empty()
	replies := s.engine.NewHold()
	defer replies.Release()
	// The proof is read before the snapshot that it is about.
	proven := s.AdmitsKeys()
	request := s.format.DecodeRequest(r)
	snapshot := s.directory.Current.Load()
	var answer *domain.Answer
	result := RequestResult{Refusal: &domain.Refusal{Reason: domain.Stopping, Message: "instance has stopped"}}
	if !stopped {
		answer, result = s.handle(w, r, request, snapshot, replies, arrival{started, proven})
	}
	if result.Refusal != nil && result.Refusal.Reason == domain.Abandoned {
		s.recordResult(request, result, 0)
		panic(http.ErrAbortHandler)
	}
	if s.stopping.Load() || result.Refusal != nil && result.Refusal.Reason == domain.Malformed {
		w.Header().Set("Connection", "close")
	}
	var status int
	var body []byte
	if result.Refusal != nil {
		status, body = s.format.EncodeRefusal(w.Header(), result.Refusal)
	} else {
		status, body = s.format.EncodeAnswer(w.Header(), answer)
	}
	if r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if err := writeBody(w, body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.log.Info("writing the answer to the caller failed", "request-id", request.ID, "error", err)
	}
	s.recordResult(request, result, status)
}

// recordResult reports the result of a request to OnRequestEnd and logs it: at
// info level if it was refused or shards are missing, otherwise at debug level.
func (s *Server) recordResult(request *domain.Request, result RequestResult, status int) {
	s.OnRequestEnd(result)
	level := slog.LevelDebug
	if result.Refusal != nil || result.Stats.Missing > 0 {
		level = slog.LevelInfo
	}
	if !s.log.Enabled(context.Background(), level) {
		return
	}
	attributes := []any{
		"request-id", request.ID, "route", result.Route, "status", status, "took", result.Duration, "calls", result.Stats.Calls,
		"hedges", result.Stats.Hedges, "repeats", result.Stats.Retries, "lost", result.Stats.ConnectionsLost, "waited", result.Stats.Queued, "delegated", result.Stats.Delegated,
		"holders", result.Stats.HoldersAsked, "missing", result.Stats.Missing, "transit", result.Transit,
	}
	attributes = append(attributes, keyAttributes(request, result)...)
	if len(result.Stats.MissingServices) > 0 {
		attributes = append(attributes, "without", result.Stats.MissingServices)
	}
	if result.Refusal != nil {
		attributes = append(attributes, "reason", result.Refusal.Reason, "outcome", result.Refusal.Outcome,
			"retry-after", result.Refusal.RetryAfter, "message", result.Refusal.Message)
	}
	if snapshot := s.directory.Current.Load(); snapshot != nil {
		attributes = append(attributes, "version", snapshot.Configuration.Version, "records", s.RecordVersion(), "configuration-age", s.ConfigurationAge())
	}
	s.log.Log(context.Background(), level, "request", attributes...)
}

// arrival is when a request arrived, and whether AdmitsKeys was true then. The request was
// sent earlier, so this holds for all that it starts later.
type arrival struct {
	at     time.Time
	proven bool
}

// handle validates a request, refuses it if it is a poison request, and runs it.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, request *domain.Request, snapshot *directory.Snapshot, replies *memory.Hold, arrived arrival) (*domain.Answer, RequestResult) {
	task, refusal := s.admit(w, r, request, snapshot, arrived)
	if refusal == nil {
		refusal = s.checkAllowance(r.Context(), task.Tenant)
	}
	if refusal != nil {
		return nil, RequestResult{Duration: time.Since(arrived.at), Refusal: refusal}
	}
	result := RequestResult{Route: task.Route.Name, Tenant: task.Tenant}
	endTrial := func(bool) {}
	if tenant := task.TenantName(); s.IsPoison(request, tenant) {
		end, retryAfter := s.StartTrial(r.Context(), request, tenant, task.Deadline())
		if end == nil {
			result.Duration, result.Refusal = time.Since(arrived.at), refusePoison(retryAfter, time.Until(task.Deadline()))
			return nil, result
		}
		task.Trial, endTrial = true, end
	}
	task.Hold = replies
	answer, stats, refusal := s.engine.Run(r.Context(), *task)
	endTrial(refusal == nil || refusal.Outcome != domain.NotRun)
	result.Duration, result.Stats, result.Refusal, result.Transit = time.Since(arrived.at), stats, refusal, task.Transit
	return answer, result
}

// refusePoison refuses a request during whose earlier runs servers were lost. If it may run
// again before the caller's deadline, the refusal says when.
func refusePoison(retryAfter, timeLeft time.Duration) *domain.Refusal {
	refusal := &domain.Refusal{
		Reason: domain.Poison, Outcome: domain.Unknown, Message: "connections to backend servers were lost during earlier runs of this request",
	}
	if retryAfter > 0 && retryAfter < timeLeft {
		refusal.Outcome, refusal.RetryAfter = domain.NotRun, retryAfter
	}
	return refusal
}

// admit validates a request, reads its body and selects its route and services. The key is
// checked on arrival and again when the body has come.
// The task refers to one snapshot of the configuration until the request ends.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, request *domain.Request, snapshot *directory.Snapshot, arrived arrival) (*scatter.Task, *domain.Refusal) {
	if request.ID == "" {
		return nil, &domain.Refusal{Reason: domain.Malformed, Message: "request has no ID"}
	}
	if snapshot == nil {
		return nil, &domain.Refusal{
			Reason: domain.NoConfiguration, RetryAfter: noConfigurationRetryDelay, Message: "instance has no configuration yet",
		}
	}
	if refusal := s.checkArrival(w, r, request, snapshot, arrived.proven); refusal != nil {
		return nil, refusal
	}
	if refusal := s.readBody(w, r, request, snapshot); refusal != nil {
		return nil, refusal
	}
	selected, refusal := s.selectRoute(request, arrived.proven)
	if refusal != nil {
		return nil, refusal
	}
	s.identify(request, selected)
	snapshot, route := selected.snapshot, selected.route
	task := &scatter.Task{Request: request, Route: route, Tenant: selected.tenant, State: snapshot.Routes[route.Name], Begin: arrived.at, Transit: transitTime(r.Context())}
	if len(route.Shards) > 0 {
		task.Admission = snapshot.Admissions[route.Name]
		task.Services = make([]*balance.Service, 0, len(route.Shards))
		for _, shard := range route.Shards {
			task.Services = append(task.Services, snapshot.Services[shard])
		}
		return task, nil
	}
	if len(route.TrafficSplit) == 0 {
		return nil, &domain.Refusal{
			Reason: domain.NoServer, RetryAfter: noConfigurationRetryDelay,
			Message: fmt.Sprintf("route %q has no service in its traffic split", route.Name),
		}
	}
	task.Services = []*balance.Service{snapshot.Services[task.State.Pick(route.TrafficSplit)]}
	return task, nil
}

// matchRoute returns the route of a request, or nil. The host of a request may
// include a port.
func matchRoute(c *domain.Configuration, request *domain.Request) *domain.Route {
	if route := c.Match(request.Host, request.Path()); route != nil {
		return route
	}
	host, _, err := net.SplitHostPort(request.Host)
	if err != nil {
		return nil
	}
	return c.Match(host, request.Path())
}
