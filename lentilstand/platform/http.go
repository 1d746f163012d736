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
	// minTTL and maxTTL bound leases.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// maxEntries bounds the rows of one change.
	maxEntries = 32
)

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveCommit)
	mux.HandleFunc("POST /v1/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	return mux
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	if err := s.admit(r.Context(), host(r), &s.reads, &s.counts.Reads); err != nil {
		fail(w, err)
		return
	}
	i, revision, err := s.get(r.FormValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, struct {
		item
		Current uint64 `json:"currentRev"`
	}{i, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	if err := s.admit(r.Context(), host(r), &s.reads, &s.counts.Reads); err != nil {
		fail(w, err)
		return
	}
	page, more, revision := s.list(r.FormValue("prefix"), r.FormValue("after"))
	answer(w, struct {
		Items   []item `json:"items"`
		More    bool   `json:"hasMore"`
		Current uint64 `json:"currentRev"`
	}{page, more, revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err != nil || err2 != nil || wait < 0 {
		fail(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), host(r), &s.reads, &s.counts.Waits); err != nil {
		fail(w, err)
		return
	}
	events, revision, err := s.watch(r.Context(), r.FormValue("prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, struct {
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxEntries*maxValue)).Decode(&body); err != nil ||
		len(body.Expect)+len(body.Writes)+len(body.Deletes) > maxEntries {
		fail(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), host(r), &s.writes, &s.counts.Writes); err != nil {
		fail(w, err)
		return
	}
	lost, late := s.loses()
	if lost && late {
		delay := time.Duration(s.random() * float64(lateWrite))
		time.AfterFunc(delay, func() { s.commit(body.Expect, body.Writes, body.Deletes) })
		fail(w, errSilent)
		return
	}
	revision, state, err := s.commit(body.Expect, body.Writes, body.Deletes)
	switch {
	case lost:
		fail(w, errSilent)
	case errors.Is(err, errConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, struct {
			Items []item `json:"items"`
		}{state})
	case err != nil:
		fail(w, err)
	default:
		answer(w, struct {
			Revision uint64 `json:"revision"`
		}{revision})
	}
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		fail(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), host(r), &s.writes, &s.counts.Writes); err != nil {
		fail(w, err)
		return
	}
	ttl := min(max(time.Duration(body.TTL)*time.Millisecond, minTTL), maxTTL)
	id := s.grant(ttl)
	if lost, _ := s.loses(); lost {
		fail(w, errSilent)
		return
	}
	answer(w, struct {
		Lease uint64 `json:"lease"`
		TTL   int64  `json:"ttlMs"`
	}{id, ttl.Milliseconds()})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.serveLease(w, r, func(id uint64) error {
		ttl, err := s.keep(id)
		if err == nil {
			answer(w, struct {
				TTL int64 `json:"ttlMs"`
			}{ttl.Milliseconds()})
		}
		return err
	})
}

func (s *Store) serveEnd(w http.ResponseWriter, r *http.Request) {
	s.serveLease(w, r, func(id uint64) error {
		err := s.end(id)
		if err == nil {
			answer(w, struct{}{})
		}
		return err
	})
}

// serveLease makes a call on the lease that the path names.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request, call func(id uint64) error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		fail(w, errInvalid)
		return
	}
	if err := s.admit(r.Context(), host(r), &s.reads, &s.counts.Reads); err != nil {
		fail(w, err)
		return
	}
	if err := call(id); err != nil {
		fail(w, err)
	}
}

func (s *Store) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

// host is where a call came from.
func host(r *http.Request) string {
	h, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return h
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller has left if this fails.
	_ = json.NewEncoder(w).Encode(body)
}

var statuses = map[error]int{
	errRefused: http.StatusServiceUnavailable, errLimited: http.StatusTooManyRequests, errMissing: http.StatusNotFound,
	errForgot: http.StatusGone, errInvalid: http.StatusBadRequest,
}

// fail answers with the status of an error, or cuts the connection.
func fail(w http.ResponseWriter, err error) {
	status, ok := statuses[err]
	if !ok {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, strings.TrimSpace(err.Error()), status)
}
