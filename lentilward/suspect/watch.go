package suspect

import (
	"log/slog"
	"time"

	"lentilward.org/lentilward/balance"
)

// lossDelay is how long after the loss of a connection it is decided whether the server
// was lost: its other connections end at about the same time.
const lossDelay = 50 * time.Millisecond

// Run is a run of a request on a server whose connection was lost.
type Run struct {
	RequestID   string
	Fingerprint uint64
	Server      *balance.Server
	// HasRun reports whether another server has answered the request with success.
	HasRun func() bool
}

// Watch finds the servers that crash while they run a request.
type Watch struct {
	log *slog.Logger
	// OnLoss is called with each request that a server ran when it was lost.
	OnLoss func(r Run, at time.Time)
}

// NewWatch returns a watch. Its OnLoss field must be set before it is used.
func NewWatch(log *slog.Logger) *Watch {
	return &Watch{log: log}
}

// Lost handles the loss of the connection of a run. It counts as the loss of the server,
// unless another connection to the server outlives it.
func (w *Watch) Lost(r Run) {
	at := time.Now()
	time.AfterFunc(lossDelay, func() {
		if r.Server.Pool.IsAliveSince(at) {
			w.log.Info("a connection was lost, but not the server", "request-id", r.RequestID, "server", r.Server.ID)
			return
		}
		hasRun := r.HasRun()
		w.log.Info("a server was lost during a request", "request-id", r.RequestID, "fingerprint", r.Fingerprint, "server", r.Server.ID,
			"age", time.Since(at), "answered", hasRun)
		if !hasRun {
			w.OnLoss(r, at)
		}
	})
}
