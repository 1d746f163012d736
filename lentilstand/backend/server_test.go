package backend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lentilward.org/lentilstand/site"
	"lentilward.org/schema/backendpb"
)

// startServer starts a server that crashes above 1 concurrent call while cold, and
// returns it with a client.
func startServer(t *testing.T, warmRuns uint32) (*Server, backendpb.BackendClient) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	s := New(site.Server{
		Service: "s", Address: address, DataCentre: "north",
		Group: site.Group{
			Servers: 1, Slots: 2, Connections: 2, ColdLimit: 1, WarmRuns: warmRuns, Shards: 1, Replicas: 1,
			ServiceTime: site.Duration(time.Millisecond),
		},
	}, 0, 1)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	conn, err := grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return s, backendpb.NewBackendClient(conn)
}

func search(c backendpb.BackendClient, version uint64) (*backendpb.SearchReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Search(ctx, &backendpb.SearchRequest{RequestId: "r", Service: "s", Version: version, Query: "q"})
}

func TestColdServerIsWarmAfterWarmRuns(t *testing.T) {
	s, c := startServer(t, 3)
	for range 4 {
		if _, err := search(c, 1); err != nil {
			t.Fatal(err)
		}
	}
	ledger := s.Ledger()
	if !ledger[2].Cold || ledger[3].Cold {
		t.Errorf("cold in runs 3 and 4: %v, %v; want true, false", ledger[2].Cold, ledger[3].Cold)
	}
}

func TestColdServerCrashesAboveItsColdLimit(t *testing.T) {
	s, c := startServer(t, 1000)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if _, err := search(c, 1); err == nil {
				return
			}
		})
	}
	wg.Wait()
	if s.Describe().Crashes == 0 {
		t.Error("8 concurrent requests did not crash a cold server with a limit of 1")
	}
}

func TestUnknownVersionIsRefusedWithoutRunning(t *testing.T) {
	s, c := startServer(t, 1)
	if _, err := search(c, 9); err == nil {
		t.Fatal("server ran a search of version 9, which it does not have")
	}
	if got := s.Ledger()[0].Result; got != "refused" {
		t.Errorf("ledger has result %q, want refused", got)
	}
}
