package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the deletion of one.
type item struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	lease    uint64
	deleted  bool
}

// object returns the item as the store's replies have it.
func (i item) object() map[string]any {
	if i.deleted {
		return map[string]any{"key": i.key, "revision": i.revision, "deleted": true}
	}
	return map[string]any{
		"key": i.key, "value": base64.StdEncoding.EncodeToString(i.value), "revision": i.revision, "created": i.created, "lease": i.lease,
	}
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// pageItems bounds the items of a page.
const pageItems = 500

// store is a stand-in for the platform's key-value store: linearizable, without faults.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{}
	listener net.Listener
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, revision: 100, leases: map[uint64]*lease{}, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc(wire["read"], s.serveKey)
	mux.HandleFunc(wire["range"], s.serveRange)
	mux.HandleFunc(wire["watch"], s.serveWatch)
	mux.HandleFunc(wire["commit"], s.serveTransaction)
	mux.HandleFunc(wire["lease"], s.serveLease)
	mux.HandleFunc(wire["keep"], s.serveKeep)
	mux.HandleFunc(wire["end"], s.serveLeaseEnd)
	mux.HandleFunc("POST /heartbeat/{id}", s.serveHeartbeat)
	go http.Serve(l, mux)
	go s.expire()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key; the caller holds mu.
func (s *store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.created
	}
	i := item{key: key, value: value, revision: s.revision, created: created, lease: leaseID}
	s.items[key] = i
	s.publish(i)
}

// remove deletes a key; the caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{key: key, revision: s.revision, deleted: true})
}

func (s *store) publish(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// configure writes a configuration for the operator.
func (s *store) configure(c configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(wire["configuration"], encode("configuration.json", c), 0)
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// expire ends the leases that are not renewed.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys; the caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{wire["current"]: s.revision})
		return
	}
	o := i.object()
	o[wire["current"]] = s.revision
	reply(w, http.StatusOK, o)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key].object())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, wire["more"]: more, wire["current"]: s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue(wire["wait"]))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.revision > after && strings.HasPrefix(e.key, r.FormValue("prefix")) {
				events = append(events, e.object())
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, wire["current"]: revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, holds := []map[string]any{}, true
	for _, e := range body.Expect {
		i, ok := s.items[e.Key]
		if ok {
			state = append(state, i.object())
		}
		holds = holds && i.revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": state})
		return
	}
	for _, e := range body.Writes {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	for _, e := range body.Writes {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body map[string]float64
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := min(max(time.Duration(body[wire["ttl"]])*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := 7000 + s.revision*10 + uint64(len(s.leases))
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, wire["ttl"]: ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{wire["ttl"]: l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, nil)
}

// heartbeatInterval is the interval at which servers report; three of them without a report
// remove the entry.
const heartbeatInterval = 1200 * time.Millisecond

// serveHeartbeat takes the report of a server: its entry lives for three intervals. Only a
// changed entry is an event.
func (s *store) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var entry json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	key := wire["servers"] + r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.items[key]
	if ok && string(old.value) == string(entry) && s.leases[old.lease] != nil {
		s.leases[old.lease].end = time.Now().Add(3 * heartbeatInterval)
		reply(w, http.StatusOK, nil)
		return
	}
	id := uint64(1_000_000) + s.revision
	s.leases[id] = &lease{3 * heartbeatInterval, time.Now().Add(3 * heartbeatInterval)}
	s.put(key, entry, id)
	reply(w, http.StatusOK, nil)
}
