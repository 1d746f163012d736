package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// leafSettings are the settings of one server process.
type leafSettings struct {
	ID, Service, Zone, Address, Store string
	Slots, Queue                      int
	Work                              time.Duration
	Records                           int
	// Crash is the target of the request that crashes the server; empty for none.
	Crash string
}

// crashDelay is how long the request runs that crashes the server, also if its caller has
// left meanwhile.
const crashDelay = 150 * time.Millisecond

// leaf is a server: it runs requests in slots and queues a few more.
type leaf struct {
	leafSettings
	Born   int64
	slots  chan struct{}
	queued atomic.Int32
	runs   atomic.Int64
	print  sync.Mutex
}

// serveLeaf runs a server process with the settings in JSON. It prints a line for each run.
func serveLeaf(settings string) error {
	l := &leaf{Born: time.Now().UnixMilli()}
	if err := json.Unmarshal([]byte(settings), &l.leafSettings); err != nil {
		return err
	}
	l.slots = make(chan struct{}, l.Slots)
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return err
	}
	go l.heartbeat()
	go func() {
		// The standard input closes when the case ends.
		io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	return (&http.Server{Handler: l, IdleTimeout: 10 * time.Second}).Serve(listener)
}

// heartbeat keeps the server's entry in the store.
func (l *leaf) heartbeat() {
	entry := encode("server.json", l)
	for {
		response, err := http.Post("http://"+l.Store+"/heartbeat/"+l.ID, "application/json", bytes.NewReader(entry))
		if err == nil {
			response.Body.Close()
		}
		time.Sleep(heartbeatInterval)
	}
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("request-id")
	w.Header().Set("request-id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("instance-id", l.ID)
		return
	}
	if expected := r.Header.Get("expected-instance"); expected != "" && expected != l.ID {
		w.Header().Set("instance-id", l.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		w.Header().Set("not-executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !l.takeSlot(r) {
		w.Header().Set("not-executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.slots }()
	run := l.runs.Add(1)
	l.print.Lock()
	fmt.Printf("run %s %s %s %s\n", id, l.ID, r.Method, r.RequestURI)
	l.print.Unlock()
	if l.Crash != "" && r.RequestURI == l.Crash {
		time.Sleep(crashDelay)
		os.Exit(1)
	}
	select {
	case <-time.After(time.Duration(float64(l.Work) * (0.8 + 0.4*rand.Float64()))):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("server-stamp", fmt.Sprintf("%s.%x.%x.%s", strings.ReplaceAll(l.ID, "-", ""), l.Born, run, id))
	var answer []byte
	if l.Records > 0 {
		for range l.Records {
			answer = binary.BigEndian.AppendUint64(answer, rand.Uint64())
			answer = binary.BigEndian.AppendUint64(answer, rand.Uint64())
		}
	} else {
		answer = fmt.Appendf(nil, "%s %s %d %s\n", r.Method, r.RequestURI, len(body), id)
	}
	w.Header().Set("content-length", strconv.Itoa(len(answer)))
	w.Write(answer)
}

// takeSlot waits for a free slot, and reports false if the queue is full or the deadline
// passes.
func (l *leaf) takeSlot(r *http.Request) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	if l.queued.Add(1) > int32(l.Queue) {
		l.queued.Add(-1)
		return false
	}
	defer l.queued.Add(-1)
	left, err := strconv.Atoi(r.Header.Get("deadline-milliseconds"))
	if err != nil {
		left = 30_000
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-time.After(time.Duration(left) * time.Millisecond):
	case <-r.Context().Done():
	}
	return false
}
