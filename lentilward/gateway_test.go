package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/platform"
)

// testPlatform provides a store and backend servers on real sockets.
type testPlatform struct {
	t            *testing.T
	storeStandIn *standin.Store
	store        *platform.Store
	address      netip.AddrPort
	runs         map[string]*atomic.Int32
}

func newTestPlatform(t *testing.T) *testPlatform {
	b := &testPlatform{t: t, storeStandIn: standin.New(1), runs: make(map[string]*atomic.Int32)}
	server := httptest.NewServer(b.storeStandIn.Handler())
	t.Cleanup(server.Close)
	b.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	b.store = platform.NewStore(b.address, server.Client())
	return b
}

// startBackendServer starts a backend server with one record and registers it in
// the store.
func (b *testPlatform) startBackendServer(id, service, dataCentre string) {
	runs := &atomic.Int32{}
	b.runs[id] = runs
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expected-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		runs.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "stamp-"+id)
		fmt.Fprintf(w, "%-16s", id)
	}))
	b.t.Cleanup(s.Close)
	b.register(id, service, dataCentre, strings.TrimPrefix(s.URL, "http://"), "ready")
}

func (b *testPlatform) register(id, service, dataCentre, address, state string) {
	b.writeRecord("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":3,"state":%q,"coldRemainingMs":0,"sequence":1,"born":1}`,
		service, address, dataCentre, state))
}

func (b *testPlatform) writeRecord(key, value string) {
	b.t.Helper()
	if _, err := b.store.Commit(b.t.Context(), nil, []platform.Write{{Key: key, Value: []byte(value)}}, nil); err != nil {
		b.t.Fatal(err)
	}
}

func (b *testPlatform) publishConfiguration(version int, shards string) {
	b.writeRecord("op/config", fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"all","host":"h","prefix":"/all/","kind":"safe","shards":[%s],"resultCount":5,"minSuccessShare":1,"timeoutMs":5000,"targetLatencyMs":5000,"maxAttempts":2},
		{"name":"one","host":"h","prefix":"/one/","kind":"unsafe","service":"s1","timeoutMs":5000,"targetLatencyMs":5000,"maxAttempts":1}],
		"services":[{"name":"s1","maxConnections":30},{"name":"s2","maxConnections":30},{"name":"s3","maxConnections":30}]}`, version, shards))
}

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startInstance starts a gateway and waits until it serves; stop shuts it down
// as SIGTERM does.
func (b *testPlatform) startInstance(name string, seeds ...netip.AddrPort) (o *Options, stop func()) {
	o = &Options{Name: name, DataCentre: "z1", Peers: seeds}
	o.Listen.HTTP, o.Listen.Readiness, o.Listen.Peers, o.Listen.Monitor = freeAddress(b.t), freeAddress(b.t), freeAddress(b.t), freeAddress(b.t)
	o.Store.Address, o.Apply = b.address, duration(defaultApply)
	o.RetryBudget.Slack, o.RetryBudget.Window = 50, duration(10*time.Second)
	o.Search.Hedge = true
	o.Stop.Grace = duration(time.Second)
	processCtx, cancelProcess := context.WithCancel(context.Background())
	stopCtx, requestStop := context.WithCancel(context.Background())
	g := newGateway(o, newStoreClient(o.Store.Address, (&net.Dialer{}).DialContext), slog.New(slog.NewTextHandler(io.Discard, nil)), &slog.LevelVar{})
	done := make(chan error, 1)
	go func() { done <- g.Run(processCtx, stopCtx) }()
	var stopped bool
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		requestStop()
		if err := <-done; err != nil {
			b.t.Error(err)
		}
		cancelProcess()
	}
	b.t.Cleanup(stop)
	for g.board.LocalInstance.Load().Phase != blackboard.Serving {
		time.Sleep(time.Millisecond)
	}
	return o, stop
}

// awaitReply repeats a request until the reply has the wanted prefix, and fails
// the test if it does not after 2000 attempts.
func (b *testPlatform) awaitReply(o *Options, method, path, want string) {
	b.t.Helper()
	var got string
	for range 2000 {
		r, err := http.NewRequest(method, "http://"+o.Listen.HTTP.String()+path, nil)
		if err != nil {
			b.t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Request-Id", "q1")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			b.t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			b.t.Fatal(err)
		}
		got = fmt.Sprintf("%d %s", response.StatusCode, strings.Join(strings.Fields(string(body)), " "))
		if strings.HasPrefix(got, want) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatalf("last reply %q, want %q", got, want)
}

// Two instances on real sockets serve searches and non-idempotent requests.
// They must follow a new configuration and the withdrawal of a data centre, and
// an instance that was shut down must not listen any longer.
func TestRequestsFollowStoreChangesOnThePlatform(t *testing.T) {
	b := newTestPlatform(t)
	b.publishConfiguration(3, `"s1","s2"`)
	b.startBackendServer("i-1", "s1", "z1")
	b.startBackendServer("i-2", "s2", "z1")
	b.startBackendServer("i-3", "s3", "z2")
	one, _ := b.startInstance("one")
	two, stopTwo := b.startInstance("two", one.Listen.Peers)
	for _, o := range []*Options{one, two} {
		b.awaitReply(o, "GET", "/all/x?y=1", "200 i-2 i-1")
		b.awaitReply(o, "POST", "/one/x", "200 i-1")
		b.awaitReply(o, "GET", "/none/", "404")
	}
	b.publishConfiguration(7, `"s2","s3"`)
	for _, o := range []*Options{one, two} {
		b.awaitReply(o, "GET", "/all/", "200 i-3 i-2")
	}
	b.writeRecord("op/evacuate/z2", "{}")
	b.awaitReply(one, "GET", "/all/", "503")
	stopTwo()
	if _, err := net.Dial("tcp", two.Listen.HTTP.String()); err == nil {
		t.Fatal("stopped instance still listens")
	}
	b.awaitReply(one, "POST", "/one/", "200 i-1")
}

// An instance whose calls the store refuses must get its records from a peer,
// also when it starts.
func TestInstanceFollowsPeersWhileTheStoreRefusesIt(t *testing.T) {
	b := newTestPlatform(t)
	b.publishConfiguration(3, `"s1"`)
	b.startBackendServer("i-1", "s1", "z1")
	one, _ := b.startInstance("one")
	b.awaitReply(one, "GET", "/all/", "200 i-1")
	b.storeStandIn.RefuseCaller("127.0.0.1", time.Hour)
	two, _ := b.startInstance("two", one.Listen.Peers)
	b.awaitReply(two, "GET", "/all/", "200 i-1")
}
