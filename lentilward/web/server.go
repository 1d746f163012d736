// Package web serves the requests of callers over HTTP/1.1.
package web

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/schema/domain"
)

const (
	// headerTimeout bounds the time in which a header arrives.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections.
	idleTimeout = 75 * time.Second
	// defaultBody is the size of the largest body if the configuration has no
	// limit, in bytes.
	defaultBody = 1 << 20
	// noConfigurationRetry is when to come back to an instance that knows no
	// configuration, or only an old one.
	noConfigurationRetry = 300 * time.Millisecond
)

// Format is how callers write requests and read answers.
type Format struct {
	DecodeRequest func(*http.Request) *domain.Request
	EncodeAnswer  func(http.Header, *domain.Answer) (status int, body []byte)
	EncodeRefusal func(http.Header, *domain.Refusal) (status int, body []byte)
}

// Server serves callers.
type Server struct {
	format    Format
	directory *directory.Directory
	engine    *scatter.Engine
	log       *slog.Logger
	stopping  atomic.Bool

	// Current tells whether the configuration in force is known to be the
	// newest.
	Current func() bool
	// Harmful tells whether a request is known to take backend servers with it,
	// and Lost notes that it lost some and failed.
	Harmful func(*domain.Request) bool
	Lost    func(r *domain.Request, servers int)
	// Observe is told of each request that has ended.
	Observe func(End)
}

// End is how a request ended.
type End struct {
	Route   string
	Took    time.Duration
	Stats   scatter.Stats
	Refusal *domain.Refusal
}

// New returns a server.
func New(format Format, d *directory.Directory, e *scatter.Engine, log *slog.Logger) *Server {
	return &Server{
		format: format, directory: d, engine: e, log: log,
		Current: func() bool { return true }, Observe: func(End) {},
		Harmful: func(*domain.Request) bool { return false }, Lost: func(*domain.Request, int) {},
	}
}

// HTTP returns the server to listen with.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
}

// Stop makes every answer from now on the last one of its connection.
func (s *Server) Stop() { s.stopping.Store(true) }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	request := s.format.DecodeRequest(r)
	snapshot := s.directory.Current.Load()
	answer, end := s.answer(r, request, snapshot, begin)
	if end.Refusal != nil && end.Refusal.Reason == domain.Abandoned {
		s.ended(request, end, 0)
		panic(http.ErrAbortHandler)
	}
	if s.stopping.Load() || end.Refusal != nil && end.Refusal.Reason == domain.Malformed {
		w.Header().Set("Connection", "close")
	}
	var status int
	var body []byte
	if end.Refusal != nil {
		status, body = s.format.EncodeRefusal(w.Header(), end.Refusal)
	} else {
		status, body = s.format.EncodeAnswer(w.Header(), answer)
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.log.Info("answer was not delivered", "request-id", request.ID, "error", err)
	}
	s.ended(request, end, status)
}

// ended counts a request and logs it if it was refused, incomplete or late.
func (s *Server) ended(request *domain.Request, end End, status int) {
	s.Observe(end)
	level := slog.LevelDebug
	if end.Refusal != nil || end.Stats.Missing > 0 {
		level = slog.LevelInfo
	}
	if !s.log.Enabled(context.Background(), level) {
		return
	}
	attributes := []any{
		"request-id", request.ID, "route", end.Route, "status", status, "took", end.Took, "calls", end.Stats.Calls,
		"hedges", end.Stats.Hedges, "repeats", end.Stats.Repeats, "waited", end.Stats.Waited, "delegated", end.Stats.Delegated,
		"missing", end.Stats.Missing,
	}
	if len(end.Stats.Without) > 0 {
		attributes = append(attributes, "without", end.Stats.Without)
	}
	if end.Refusal != nil {
		attributes = append(attributes, "reason", end.Refusal.Reason, "outcome", end.Refusal.Outcome,
			"retry-after", end.Refusal.RetryAfter, "message", end.Refusal.Message)
	}
	s.log.Log(context.Background(), level, "request", attributes...)
}

// answer admits a request and runs it.
func (s *Server) answer(r *http.Request, request *domain.Request, snapshot *directory.Snapshot, begin time.Time) (*domain.Answer, End) {
	task, refusal := s.admit(r, request, snapshot, begin)
	if refusal != nil {
		return nil, End{Took: time.Since(begin), Refusal: refusal}
	}
	if s.Harmful(request) {
		return nil, End{Route: task.Route.Name, Took: time.Since(begin), Refusal: &domain.Refusal{
			Reason: domain.Harmful, Outcome: domain.Unknown,
			Message: "backend servers went away while they ran this request before",
		}}
	}
	answer, stats, refusal := s.engine.Run(r.Context(), *task)
	if refusal != nil && stats.Lost > 0 {
		s.Lost(request, stats.Lost)
	}
	return answer, End{Route: task.Route.Name, Took: time.Since(begin), Stats: stats, Refusal: refusal}
}

// admit pins all that a request needs from start to end.
func (s *Server) admit(r *http.Request, request *domain.Request, snapshot *directory.Snapshot, begin time.Time) (*scatter.Task, *domain.Refusal) {
	if request.ID == "" {
		return nil, &domain.Refusal{Reason: domain.Malformed, Message: "request has no id"}
	}
	if snapshot == nil {
		return nil, &domain.Refusal{
			Reason: domain.NoConfiguration, RetryAfter: noConfigurationRetry, Message: "no configuration yet",
		}
	}
	if refusal := s.readBody(r, request, snapshot); refusal != nil {
		return nil, refusal
	}
	route := match(snapshot.Configuration, request)
	if route == nil {
		if !s.Current() {
			return nil, &domain.Refusal{
				Reason: domain.NoConfiguration, RetryAfter: noConfigurationRetry,
				Message: "no such route, but the configuration may be old",
			}
		}
		return nil, &domain.Refusal{Reason: domain.NoRoute, Message: fmt.Sprintf("no route for host %q and path %q", request.Host, request.Path())}
	}
	task := &scatter.Task{Request: request, Route: route, State: snapshot.Routes[route.Name], Begin: begin}
	if len(route.Shards) > 0 {
		task.Services = make([]*balance.Service, 0, len(route.Shards))
		for _, shard := range route.Shards {
			task.Services = append(task.Services, snapshot.Services[shard])
		}
		return task, nil
	}
	if len(route.Split) == 0 {
		return nil, &domain.Refusal{
			Reason: domain.NoServer, RetryAfter: noConfigurationRetry,
			Message: fmt.Sprintf("route %q has no service", route.Name),
		}
	}
	task.Services = []*balance.Service{snapshot.Services[task.State.Pick(route.Split)]}
	return task, nil
}

// match finds the route of a request. Callers may name a port beside the host.
func match(c *domain.Configuration, request *domain.Request) *domain.Route {
	if route := c.Match(request.Host, request.Path()); route != nil {
		return route
	}
	host, _, err := net.SplitHostPort(request.Host)
	if err != nil {
		return nil
	}
	return c.Match(host, request.Path())
}

// readBody reads the whole body. A body that breaks off ends the request: the
// caller has left.
func (s *Server) readBody(r *http.Request, request *domain.Request, snapshot *directory.Snapshot) *domain.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := snapshot.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &domain.Refusal{Reason: domain.Abandoned, Message: fmt.Sprintf("body: %v", err)}
	}
	if int64(len(body)) > limit {
		return &domain.Refusal{Reason: domain.TooLarge, Message: fmt.Sprintf("body is over %d bytes", limit)}
	}
	request.Body = body
	return nil
}
