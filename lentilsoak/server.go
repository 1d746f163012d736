package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

const (
	// recordBytes is the size of one record, recordsPerShard the number of records
	// that each shard has for a request.
	recordBytes     = 16
	recordsPerShard = 4
	// maxDrainDelay is how long a server may still receive new requests after it was
	// registered as draining, including delays of the test environment itself.
	maxDrainDelay = 3500 * time.Millisecond
	// maxWithdrawalDelay is the same for the withdrawal of a data centre.
	maxWithdrawalDelay = 5500 * time.Millisecond
)

// Modes of a server: slow multiplies the service time, shedding refuses a share of
// the requests as not executed, resetting closes the connections of a share, endless
// sends bytes without end, limiting names a low limit of requests a second, and oddStatus
// answers a share of the requests with a status that no reply can have.
const (
	healthy int32 = iota
	slow
	shedding
	resetting
	endless
	limiting
	oddStatus
	modeCount
)

// server simulates one backend server. Instances connect to its proxy.
type server struct {
	id, service string
	dataCentre  *dataCentre
	ledger      *ledger
	proxy       *proxy
	// link is disturbed by faults of the connections to the server.
	link calm
	mode atomic.Int32
	// usualMode is the mode while no fault is injected.
	usualMode int32
	// leaving is set while the server drains; announces is set if its replies say so.
	leaving   atomic.Bool
	announces bool
	// drain is what the store has acknowledged of it.
	drain bar
	// inTouch reports whether bounds in time hold for all instances.
	inTouch func() bool

	// writing is held while the record of the server is written.
	writing  sync.Mutex
	draining bool
	sequence int
}

func newServer(id, service string, d *dataCentre, l *ledger, inTouch func() bool) (*server, error) {
	s := &server{id: id, service: service, dataCentre: d, ledger: l, inTouch: inTouch}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, s)
	s.proxy, err = newProxy(listener.Addr().String())
	return s, err
}

// ServeHTTP runs one request, with the faults of the current mode.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.RequestIDHeader)
	w.Header().Set(standin.RequestIDHeader, id)
	if r.Header.Get(standin.ExpectedInstanceHeader) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.checkBar(id, "registered as draining", s.drain.age(), maxDrainDelay)
	s.checkBar(id, "withdrawn with "+s.dataCentre.name, s.dataCentre.withdrawal.age(), maxWithdrawalDelay)
	if s.announces && s.leaving.Load() {
		w.Header().Set(standin.ServerLeavingHeader, "1")
	}
	if gone, late := s.ledger.lateKeys.Load(id); late {
		s.ledger.addFinding("server %s received request %s, whose key was withdrawn %v before it was sent", s.id, id, gone)
	}
	mode := s.mode.Load()
	if mode == shedding && rand.IntN(2) == 0 {
		w.Header().Set(standin.NotExecutedHeader, "1")
		if rand.IntN(2) == 0 {
			w.Header().Set(standin.RetryAfterHeader, "0.8")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if mode == limiting {
		w.Header().Set(standin.ServerLimitHeader, "5.5")
	}
	if r.Method == http.MethodPost {
		s.ledger.recordRun(id)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if mode == endless {
		s.sendWithoutEnd(w, id)
		return
	}
	serviceTime := time.Duration(3+rand.IntN(12)) * time.Millisecond
	if mode == slow {
		serviceTime *= 30
	}
	time.Sleep(serviceTime)
	if mode == resetting && rand.IntN(5) == 0 {
		panic(http.ErrAbortHandler)
	}
	if mode == oddStatus && rand.IntN(3) == 0 {
		s.sendOddStatus(w, id)
		return
	}
	w.Header().Set(standin.ServerProofHeader, s.service+"."+id)
	io.WriteString(w, records(s.service, id))
}

// checkBar checks that no request arrives longer than a bound after the server was barred.
// The rules ("Held up") exempt a server whose connections were disturbed within stableWindow.
func (s *server) checkBar(id, state string, age, bound time.Duration) {
	if age > bound && s.link.heldSince(time.Now().Add(-stableWindow)) && s.inTouch() {
		s.ledger.addFinding("server %s received request %s at %s, %v after it was %s", s.id, id, time.Now().Format(time.TimeOnly+".000"), age, state)
	}
}

// sendOddStatus answers with a status that no reply can have and closes the connection.
func (s *server) sendOddStatus(w http.ResponseWriter, id string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	status := []string{"000", "101", "199", "600"}[rand.IntN(4)]
	fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: 0\r\n\r\n", status,
		standin.RequestIDHeader, id, standin.ServerProofHeader, s.service, id)
}

// records returns the unsorted records that a service has for a request.
func records(service, id string) string {
	var b strings.Builder
	for i := range recordsPerShard {
		fmt.Fprintf(&b, "%-*.*s", recordBytes, recordBytes, fmt.Sprintf("%d%s%s", (i*7)%recordsPerShard, service, id))
	}
	return b.String()
}
