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

// platformBed is a store and backend servers on real sockets.
type platformBed struct {
	t     *testing.T
	stand *standin.Store
	store *platform.Store
	addr  netip.AddrPort
	runs  map[string]*atomic.Int32
}

func newPlatformBed(t *testing.T) *platformBed {
	b := &platformBed{t: t, stand: standin.New(1), runs: make(map[string]*atomic.Int32)}
	server := httptest.NewServer(b.stand.Handler())
	t.Cleanup(server.Close)
	b.addr = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	b.store = platform.NewStore(b.addr, server.Client())
	return b
}

// server starts a backend server with one record and registers it.
func (b *platformBed) server(id, service, zone string) {
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
	b.register(id, service, zone, strings.TrimPrefix(s.URL, "http://"), "ready")
}

func (b *platformBed) register(id, service, zone, address, state string) {
	b.put("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":3,"state":%q,"coldRemainingMs":0,"sequence":1,"born":1}`,
		service, address, zone, state))
}

func (b *platformBed) put(key, value string) {
	b.t.Helper()
	if _, err := b.store.Commit(b.t.Context(), nil, []platform.Write{{Key: key, Value: []byte(value)}}, nil); err != nil {
		b.t.Fatal(err)
	}
}

func (b *platformBed) configure(version int, shards string) {
	b.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"all","host":"h","prefix":"/all/","kind":"safe","shards":[%s],"resultCount":5,"minSuccessShare":1,"timeoutMs":5000,"targetLatencyMs":5000,"maxAttempts":2},
		{"name":"one","host":"h","prefix":"/one/","kind":"unsafe","service":"s1","timeoutMs":5000,"targetLatencyMs":5000,"maxAttempts":1}],
		"services":[{"name":"s1","maxConnections":30},{"name":"s2","maxConnections":30},{"name":"s3","maxConnections":30}]}`, version, shards))
}

// free returns an address that nothing listens at.
func free(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// instance starts a gateway; stop ends it as a SIGTERM would.
func (b *platformBed) instance(name string, seeds ...netip.AddrPort) (o *Options, stop func()) {
	o = &Options{Name: name, DataCentre: "z1", Peers: seeds}
	o.Listen.HTTP, o.Listen.Readiness, o.Listen.Peers, o.Listen.Monitor = free(b.t), free(b.t), free(b.t), free(b.t)
	o.Store.Address = b.addr
	o.Repeats.Slack, o.Repeats.Window = 50, duration(10*time.Second)
	o.Search.Hedge = true
	o.Stop.Grace = duration(time.Second)
	life, end := context.WithCancel(context.Background())
	stopping, begin := context.WithCancel(context.Background())
	g := newGateway(o, newStoreClient(o.Store.Address), slog.New(slog.NewTextHandler(io.Discard, nil)), &slog.LevelVar{})
	done := make(chan error, 1)
	go func() { done <- g.Run(life, stopping) }()
	var ended bool
	stop = func() {
		if ended {
			return
		}
		ended = true
		begin()
		if err := <-done; err != nil {
			b.t.Error(err)
		}
		end()
	}
	b.t.Cleanup(stop)
	for g.board.Own.Load().Phase != blackboard.Serving {
		time.Sleep(time.Millisecond)
	}
	return o, stop
}

// ask sends a request until it gets the wanted answer.
func (b *platformBed) ask(o *Options, method, path, want string) {
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
	b.t.Fatalf("last answer %q, want %q", got, want)
}

// The whole path on the platform, without the users' bench: a search over
// shards, a single request, a new configuration, a server that drains, a data
// centre that is withdrawn, and an instance that stops.
func TestWholePathOnThePlatform(t *testing.T) {
	b := newPlatformBed(t)
	b.configure(3, `"s1","s2"`)
	b.server("i-1", "s1", "z1")
	b.server("i-2", "s2", "z1")
	b.server("i-3", "s3", "z2")
	one, _ := b.instance("one")
	two, stopTwo := b.instance("two", one.Listen.Peers)
	for _, o := range []*Options{one, two} {
		b.ask(o, "GET", "/all/x?y=1", "200 i-2 i-1")
		b.ask(o, "POST", "/one/x", "200 i-1")
		b.ask(o, "GET", "/none/", "404")
	}
	b.configure(7, `"s2","s3"`)
	for _, o := range []*Options{one, two} {
		b.ask(o, "GET", "/all/", "200 i-3 i-2")
	}
	b.put("op/evacuate/z2", "{}")
	b.ask(one, "GET", "/all/", "503")
	stopTwo()
	if _, err := net.Dial("tcp", two.Listen.HTTP.String()); err == nil {
		t.Fatal("stopped instance still listens")
	}
	b.ask(one, "POST", "/one/", "200 i-1")
}

// An instance that the store refuses learns from its peer, also at its start.
func TestPeersPassOnWhatTheStoreRefuses(t *testing.T) {
	b := newPlatformBed(t)
	b.configure(3, `"s1"`)
	b.server("i-1", "s1", "z1")
	one, _ := b.instance("one")
	b.ask(one, "GET", "/all/", "200 i-1")
	b.stand.Shut("127.0.0.1", time.Hour)
	two, _ := b.instance("two", one.Listen.Peers)
	b.ask(two, "GET", "/all/", "200 i-1")
}
