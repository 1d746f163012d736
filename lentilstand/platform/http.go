package platform

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// minTTL and maxTTL bound the TTL of a lease.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// maxCommitEntries bounds the conditions, writes and deletions of one commit.
	maxCommitEntries = 32
)

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveGet)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveCommit)
	mux.HandleFunc("POST /v1/kv-lease", s.serveGrantLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveRenewLease)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEndLease)
	return s.replyInEra(mux)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	if err := s.admit(r.Context(), callerHost(r), &s.readLimiter, &s.counts.Reads); err != nil {
		writeError(w, err)
		return
	}
	i, revision, err := s.get(r.FormValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct {
		item
		Current uint64 `json:"currentRev"`
	}{i, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	if err := s.admit(r.Context(), callerHost(r), &s.readLimiter, &s.counts.Reads); err != nil {
		writeError(w, err)
		return
	}
	page, more, revision := s.list(r.FormValue("prefix"), r.FormValue("after"))
	writeJSON(w, struct {
		Items   []item `json:"items"`
		More    bool   `json:"hasMore"`
		Current uint64 `json:"currentRev"`
	}{page, more, revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err != nil || waitErr != nil || waitMs < 0 {
		writeError(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), callerHost(r), &s.readLimiter, &s.counts.Watches); err != nil {
		writeError(w, err)
		return
	}
	events, revision, err := s.watch(r.Context(), r.FormValue("prefix"), after, time.Duration(waitMs)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct {
		Events  []item `json:"events"`
		Current uint64 `json:"currentRev"`
	}{events, revision})
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect  []condition `json:"expect"`
		Writes  []write     `json:"writes"`
		Deletes []string    `json:"deletes"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxCommitEntries*maxValueBytes)).Decode(&body); err != nil ||
		len(body.Expect)+len(body.Writes)+len(body.Deletes) > maxCommitEntries {
		writeError(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), callerHost(r), &s.writeLimiter, &s.counts.Writes); err != nil {
		writeError(w, err)
		return
	}
	lost, delayed := s.drawLostReply()
	if lost && delayed {
		delay := time.Duration(s.random() * float64(maxLateWriteDelay))
		time.AfterFunc(delay, func() { s.commit(body.Expect, body.Writes, body.Deletes) })
		writeError(w, errNoReply)
		return
	}
	revision, state, err := s.commit(body.Expect, body.Writes, body.Deletes)
	switch {
	case lost:
		writeError(w, errNoReply)
	case errors.Is(err, errConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, struct {
			Items []item `json:"items"`
		}{state})
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, struct {
			Revision uint64 `json:"revision"`
		}{revision})
	}
}

func (s *Store) serveGrantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMillis int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), callerHost(r), &s.writeLimiter, &s.counts.Writes); err != nil {
		writeError(w, err)
		return
	}
	ttl := min(max(time.Duration(body.TTLMillis)*time.Millisecond, minTTL), maxTTL)
	id := s.grantLease(ttl)
	if lost, _ := s.drawLostReply(); lost {
		writeError(w, errNoReply)
		return
	}
	writeJSON(w, struct {
		Lease     uint64 `json:"lease"`
		TTLMillis int64  `json:"ttlMs"`
	}{id, ttl.Milliseconds()})
}

func (s *Store) serveRenewLease(w http.ResponseWriter, r *http.Request) {
	s.serveLeaseCall(w, r, func(id uint64) error {
		ttl, err := s.renewLease(id)
		if err == nil {
			writeJSON(w, struct {
				TTLMillis int64 `json:"ttlMs"`
			}{ttl.Milliseconds()})
		}
		return err
	})
}

func (s *Store) serveEndLease(w http.ResponseWriter, r *http.Request) {
	s.serveLeaseCall(w, r, func(id uint64) error {
		err := s.endLease(id)
		if err == nil {
			writeJSON(w, struct{}{})
		}
		return err
	})
}

// serveLeaseCall makes a call on the lease whose id is in the path.
func (s *Store) serveLeaseCall(w http.ResponseWriter, r *http.Request, call func(id uint64) error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		writeError(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), callerHost(r), &s.readLimiter, &s.counts.Reads); err != nil {
		writeError(w, err)
		return
	}
	if err := call(id); err != nil {
		writeError(w, err)
	}
}

func (s *Store) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

// callerHost returns the address, without port, that a call came from.
func callerHost(r *http.Request) string {
	h, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return h
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

var statusCodes = map[error]int{
	errUnavailable: http.StatusServiceUnavailable, errRateLimited: http.StatusTooManyRequests, errNotFound: http.StatusNotFound,
	errCompacted: http.StatusGone, errInvalid: http.StatusBadRequest,
}

// writeError replies with the status code of an error, or closes the connection if
// the error has none.
func writeError(w http.ResponseWriter, err error) {
	status, ok := statusCodes[err]
	if !ok {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, strings.TrimSpace(err.Error()), status)
}
