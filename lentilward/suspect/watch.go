package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lentilward.org/lentilward/balance"
)

const (
	// lossDelay is how long after the loss of a connection it is checked whether the server
	// was lost: its other connections end at about the same time.
	lossDelay = 50 * time.Millisecond
	// replacedDelay is how long after that another process may answer at the address, which
	// shows that the server was lost and started anew at once.
	replacedDelay = 2 * time.Second
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
	// givenUp has the runs that may still go on, by server, and losing those whose connection
	// was just lost.
	givenUp map[*balance.Server][]givenUpRun
	losing  map[*balance.Server][]Run
	// OnLoss is called with each request that a server ran when it was lost.
	OnLoss func(r Run, at time.Time)
}

type givenUpRun struct {
	Run
	until time.Time
}

// NewWatch returns a watch. Its OnLoss field must be set before it is used.
func NewWatch(log *slog.Logger) *Watch {
	return &Watch{log: log, givenUp: make(map[*balance.Server][]givenUpRun), losing: make(map[*balance.Server][]Run)}
}

// Lost handles the loss of the connection of a run. The server was lost if it refuses another
// connection, or if another process answers in its place.
func (w *Watch) Lost(r Run, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs, checked := w.losing[r.Server]
	w.losing[r.Server] = append(runs, r)
	if !checked {
		time.AfterFunc(lossDelay, func() { w.checkLost(r.Server, at) })
	}
}

// checkLost checks a server that has closed connections since a time.
func (w *Watch) checkLost(server *balance.Server, at time.Time) {
	isAlive := server.Pool.IsAliveSince(at)
	isRefused := !isAlive && server.Pool.IsRefused(context.Background())
	w.mu.Lock()
	runs := w.losing[server]
	delete(w.losing, server)
	w.mu.Unlock()
	if isRefused {
		w.serverLost(server, at, "connection lost", runs...)
		return
	}
	for _, r := range runs {
		w.log.Info("a connection was lost, but not the server", "request-id", r.RequestID, "server", server.ID, "alive", isAlive)
		if !isAlive {
			w.GivenUp(r, time.Now().Add(replacedDelay-checkInterval))
		}
	}
}

// Replaced handles the answer of another process at the address of a server.
func (w *Watch) Replaced(server *balance.Server) {
	w.serverLost(server, time.Now(), "replaced by another process")
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
	// A server that drains ends without being crashed.
	planned := server.IsOutOfService()
	for _, r := range runs {
		hasRun := r.HasRun()
		w.log.Info("a server was lost during a request", "request-id", r.RequestID, "fingerprint", r.Fingerprint, "server", server.ID,
			"evidence", evidence, "runs", len(runs), "age", time.Since(at), "answered", hasRun, "planned", planned)
		if !hasRun && !planned {
			w.OnLoss(r, at)
		}
	}
}
