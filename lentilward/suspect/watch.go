package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lentilward.org/lentilward/balance"
)

const (
	// lossDelay is how long after the loss of a connection it is decided whether the server
	// was lost: its other connections end at about the same time.
	lossDelay = 50 * time.Millisecond
	// firstCheckDelay and checkInterval are when a server is checked on which a run was
	// given up. A server that has crashed is down for longer.
	firstCheckDelay = 300 * time.Millisecond
	checkInterval   = time.Second
	// maxWatch bounds how long a run that was given up is watched.
	maxWatch = 10 * time.Second
	// maxGivenUp bounds the runs that are watched on one server.
	maxGivenUp = 64
)

// Run is a run of a request on a server whose end this instance has not seen: the
// connection was lost, or closed by this side.
type Run struct {
	RequestID   string
	Fingerprint uint64
	Server      *balance.Server
	// HasRun reports whether another server has answered the request with success. It must
	// not keep the request in memory.
	HasRun func() bool
}

// Watch finds the servers that crash while they run a request, also after the request was
// given up.
type Watch struct {
	log *slog.Logger
	mu  sync.Mutex
	// givenUp has the runs that may still go on, by server.
	givenUp map[*balance.Server][]givenUpRun
	// OnLoss is called with each request that a server ran when it was lost.
	OnLoss func(r Run, at time.Time)
}

type givenUpRun struct {
	Run
	until time.Time
}

// NewWatch returns a watch. Its OnLoss field must be set before it is used.
func NewWatch(log *slog.Logger) *Watch {
	return &Watch{log: log, givenUp: make(map[*balance.Server][]givenUpRun)}
}

// Lost handles the loss of the connection of a run. It counts as the loss of the server,
// unless another connection to the server outlives it.
func (w *Watch) Lost(r Run, at time.Time) {
	time.AfterFunc(lossDelay, func() {
		if r.Server.Pool.IsAliveSince(at) {
			w.log.Info("a connection was lost, but not the server", "request-id", r.RequestID, "server", r.Server.ID)
			return
		}
		w.serverLost(r.Server, at, "connection lost", r)
	})
}

// GivenUp handles a run whose connection this side has closed. The server may go on with
// it until the deadline.
func (w *Watch) GivenUp(r Run, deadline time.Time) {
	now := time.Now()
	if limit := now.Add(maxWatch); deadline.After(limit) {
		deadline = limit
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	runs, watched := w.givenUp[r.Server]
	if len(runs) == maxGivenUp {
		runs = runs[1:]
	}
	// A run that has just ended may have been the last that the server began.
	w.givenUp[r.Server] = append(runs, givenUpRun{r, deadline.Add(checkInterval)})
	if !watched {
		go w.check(r.Server, now)
	}
}

// check checks a server from time to time, until nothing that was given up can still run.
func (w *Watch) check(server *balance.Server, since time.Time) {
	for delay := firstCheckDelay; ; delay = checkInterval {
		time.Sleep(delay)
		now := time.Now()
		if !server.Pool.IsAliveSince(since) && server.Pool.IsRefused(context.Background()) {
			w.serverLost(server, now, "connection refused")
		}
		since = now
		if !w.dropEnded(server, now) {
			return
		}
	}
}

// dropEnded drops the runs that can't go on any more, and reports whether others are left.
func (w *Watch) dropEnded(server *balance.Server, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var left []givenUpRun
	for _, r := range w.givenUp[server] {
		if now.Before(r.until) && !r.HasRun() {
			left = append(left, r)
		}
	}
	if len(left) == 0 {
		delete(w.givenUp, server)
		return false
	}
	w.givenUp[server] = left
	return true
}

// serverLost reports the requests that a lost server ran: these runs and those that were
// given up.
func (w *Watch) serverLost(server *balance.Server, at time.Time, evidence string, runs ...Run) {
	w.mu.Lock()
	for _, r := range w.givenUp[server] {
		if at.Before(r.until) {
			runs = append(runs, r.Run)
		}
	}
	if w.givenUp[server] != nil {
		// The entry stays, since a check goes on.
		w.givenUp[server] = []givenUpRun{}
	}
	w.mu.Unlock()
	for _, r := range runs {
		hasRun := r.HasRun()
		w.log.Info("a server was lost during a request", "request-id", r.RequestID, "fingerprint", r.Fingerprint, "server", server.ID,
			"evidence", evidence, "runs", len(runs), "age", time.Since(at), "answered", hasRun)
		if !hasRun {
			w.OnLoss(r, at)
		}
	}
}
