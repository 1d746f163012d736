package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

const (
	// recordSize is the size of one record, recordsPerPart the number of a part.
	recordSize     = 16
	recordsPerPart = 4
	// drainBound is how long after it left a server may still get new work, with
	// what the test bed itself takes.
	drainBound = 3500 * time.Millisecond
)

// Trouble of a server.
const (
	calm int32 = iota
	slow
	shedding
	resetting
)

// server is one backend server. Its proxy is what instances connect to.
type server struct {
	id, service, zone string
	ledger            *ledger
	proxy             *proxy
	trouble           atomic.Int32
	// left is when the store took in that the server leaves, in nanoseconds since
	// 1970; 0 while it stays.
	left atomic.Int64
	// excused is set while the store is not well, so that nothing can be said of
	// work that comes late.
	excused func() bool
}

func newServer(id, service, zone string, l *ledger, excused func() bool) (*server, error) {
	s := &server{id: id, service: service, zone: zone, ledger: l, excused: excused}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, s)
	s.proxy, err = newProxy(listener.Addr().String())
	return s, err
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.RequestIDHeader)
	w.Header().Set(standin.RequestIDHeader, id)
	if r.Header.Get(standin.ExpectedInstanceHeader) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if left := s.left.Load(); left != 0 && time.Since(time.Unix(0, left)) > drainBound && !s.excused() {
		s.ledger.find("server %s got %s %v after it left", s.id, id, time.Since(time.Unix(0, left)))
	}
	trouble := s.trouble.Load()
	if trouble == shedding && rand.IntN(2) == 0 {
		w.Header().Set(standin.NotExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodPost {
		s.ledger.ran(id)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	work := time.Duration(3+rand.IntN(12)) * time.Millisecond
	if trouble == slow {
		work *= 30
	}
	time.Sleep(work)
	if trouble == resetting && rand.IntN(5) == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(standin.ReceiptHeader, s.service+"."+id)
	io.WriteString(w, records(s.service, id))
}

// records are those that a service has for a request, in no order.
func records(service, id string) string {
	var b strings.Builder
	for i := range recordsPerPart {
		fmt.Fprintf(&b, "%-*.*s", recordSize, recordSize, fmt.Sprintf("%d%s%s", (i*7)%recordsPerPart, service, id))
	}
	return b.String()
}
