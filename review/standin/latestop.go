package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

const (
	lateSince  = 3 * time.Second
	workTime   = 540 * time.Millisecond
	leafSlots  = 3
	leafCount  = 8
	earlyCount = 60
	lateCount  = 100
	attemptMs  = 6000
)

// leaf is a sound backend server: it runs slots requests at once and queues the rest.
type leaf struct {
	id      string
	address string
	slots   chan struct{}
	record  *record
	mu      sync.Mutex
	arrived map[string]time.Time
	ended   map[string]time.Time
}

func newLeaf(id string, rec *record) *leaf {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	f := &leaf{id: id, address: l.Addr().String(), slots: make(chan struct{}, leafSlots), record: rec, arrived: make(map[string]time.Time), ended: make(map[string]time.Time)}
	go http.Serve(l, f)
	return f
}

func (f *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.RequestIDHeader)
	w.Header().Set(standin.RequestIDHeader, id)
	if r.Header.Get(standin.ExpectedInstanceHeader) != f.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.arrived[id] = time.Now()
	f.mu.Unlock()
	f.record.add("leaf %s: %s arrived", f.id, id)
	select {
	case f.slots <- struct{}{}:
	case <-r.Context().Done():
		f.record.add("leaf %s: connection of %s closed while it was queued", f.id, id)
		return
	}
	defer func() { <-f.slots }()
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		f.record.add("leaf %s: connection of %s closed while it was at work", f.id, id)
		return
	}
	f.mu.Lock()
	f.ended[id] = time.Now()
	f.mu.Unlock()
	w.Header().Set(standin.ServerProofHeader, f.id+"."+id)
	fmt.Fprintf(w, "%s %d", id, len(body))
}

// keptConnection is a caller's connection that stays open for more than one request.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func dialKept(address string) *keptConnection {
	c, err := net.Dial("tcp", address)
	if err != nil {
		fatal(err)
	}
	return &keptConnection{c, bufio.NewReader(c)}
}

// post sends a request that may run once and returns the status of a complete answer.
func (k *keptConnection) post(id string) (status int, sentAt time.Time, err error) {
	body := strings.Repeat("x", 300)
	head := fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		singlePrefix, host, standin.RequestIDHeader, id, standin.DeadlineHeader, attemptMs, len(body))
	sentAt = time.Now()
	if _, err := k.Write([]byte(head + body)); err != nil {
		return 0, sentAt, err
	}
	k.SetReadDeadline(sentAt.Add(attemptMs * time.Millisecond))
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, sentAt, err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, sentAt, err
	}
	return response.StatusCode, sentAt, nil
}

// lateStop stops the instances as planned, one after the other, and starts them again.
// Callers use their kept connections to each once more, some of them later than 3 s after
// the signal.
func lateStop(trouble bool) int {
	rec := newRecord()
	s := newSite(rec)
	defer s.close()
	var leafs []*leaf
	for i := range leafCount {
		f := newLeaf(fmt.Sprintf("i-%d", i+1), rec)
		leafs = append(leafs, f)
		s.put(standin.ServerKey(f.id), standin.Server{Service: "docs", Address: f.address, DataCentre: "zone-a"}.Record())
	}
	s.put(standin.ConfigurationKey, standin.Configuration{
		Version: 3, Host: host, SearchPrefix: searchPrefix, SinglePrefix: singlePrefix, ShardServices: []string{"docs"},
		SingleService: "docs", Services: []string{"docs"}, MaxRecords: 5, MinCoverage: 1, Timeout: attemptMs * time.Millisecond,
		TargetLatency: 400 * time.Millisecond,
	}.Record())
	s.addInstances(4)
	for _, i := range s.instances {
		s.start(i)
	}
	for _, i := range s.instances {
		s.awaitReady(i, 10*time.Second)
	}
	time.Sleep(5 * time.Second)
	lost := 0
	for _, i := range s.instances {
		lost += stopOne(s, i, leafs, trouble)
	}
	code, verdict := held, "held"
	if lost > 0 {
		code, verdict = broken, fmt.Sprintf("LOST broken: %d requests that were passed on ended without an answer", lost)
	}
	fmt.Println(verdict)
	if err := rec.write(verdict); err != nil {
		fatal(err)
	}
	return code
}

// stopOne stops one instance under load and starts it again. It returns the number of
// requests that break the rule.
func stopOne(s *site, stopped *instance, leafs []*leaf, trouble bool) (lost int) {
	rec := s.record
	var connections []*keptConnection
	var first sync.WaitGroup
	for n := range earlyCount + lateCount {
		k := dialKept(stopped.http)
		connections = append(connections, k)
		if n%12 == 0 {
			time.Sleep(300 * time.Millisecond)
		}
		first.Go(func() { k.post(fmt.Sprintf("%s-first-%03d", stopped.name, n)) })
	}
	first.Wait()
	time.Sleep(500 * time.Millisecond)
	signalAt := time.Now()
	if trouble {
		stopped.process.Signal(syscall.SIGTERM)
		rec.add("SIGTERM to %s", stopped.name)
	} else {
		rec.add("no SIGTERM to %s", stopped.name)
	}
	var mu sync.Mutex
	var done sync.WaitGroup
	for n, k := range connections {
		wait := time.Duration(n) * 3 * time.Second / earlyCount
		if n >= earlyCount {
			wait = 3100*time.Millisecond + time.Duration(n-earlyCount)*500*time.Millisecond/lateCount
		}
		done.Go(func() {
			defer k.Close()
			time.Sleep(time.Until(signalAt.Add(wait)))
			id := fmt.Sprintf("%s-second-%03d", stopped.name, n)
			status, sentAt, err := k.post(id)
			endedAt := time.Now()
			passedOn := false
			for _, f := range leafs {
				f.mu.Lock()
				_, arrived := f.arrived[id]
				f.mu.Unlock()
				passedOn = passedOn || arrived
			}
			verdict := ""
			if err != nil && passedOn && sentAt.Sub(signalAt) > lateSince && endedAt.Sub(sentAt) < attemptMs*time.Millisecond {
				verdict = " LOST"
				mu.Lock()
				lost++
				mu.Unlock()
			}
			rec.add("caller: %s sent %.3f s and ended %.3f s after the signal: status %d, error %v, passed on %v%s",
				id, sentAt.Sub(signalAt).Seconds(), endedAt.Sub(signalAt).Seconds(), status, err, passedOn, verdict)
		})
	}
	done.Wait()
	if trouble {
		<-stopped.exited
		rec.add("%s exited %.3f s after the signal: %s", stopped.name, stopped.exitedAt.Sub(signalAt).Seconds(), stopped.exitState)
		s.start(stopped)
		s.awaitReady(stopped, 10*time.Second)
	}
	time.Sleep(time.Second)
	return lost
}
