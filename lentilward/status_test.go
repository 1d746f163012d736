package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

// serveStatus serves a backend server that replies to each request with one status, and
// counts the requests.
func serveStatus(t *testing.T, p *memoryPlatform, address netip.AddrPort, status string, count func()) {
	l, err := p.network.listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerWithStatus(c, status, count)
		}
	}()
}

func answerWithStatus(c net.Conn, status string, count func()) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		count()
		time.Sleep(time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 %s X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno", status, r.Header.Get("Request-Id"))
	}
}

// Guards against a reply whose status is 000, or none of a final reply, that reaches the
// caller as an answer, ends its connection without one, or makes the request count as one
// that crashes servers (found at another system: MIXED).
func TestReplyWithoutValidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "100", "101", "103", "199", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				var mu sync.Mutex
				calls := 0
				var shards []string
				for i := range 3 {
					address := netip.MustParseAddrPort(fmt.Sprintf("10.9.1.%d:80", i+1))
					serveStatus(t, p, address, status, func() {
						mu.Lock()
						defer mu.Unlock()
						calls++
					})
					for _, service := range []string{"bad", fmt.Sprint("shard-", i)} {
						p.write(t, standin.ServerKey(fmt.Sprintf("i-%s-%d", service, i)), string(standin.Server{Service: service, Address: address.String(), DataCentre: "z1"}.Record()))
					}
					shards = append(shards, fmt.Sprintf("%q", fmt.Sprint("shard-", i)))
				}
				p.write(t, platform.ConfigurationKey, fmt.Sprintf(`{"version":1,"routes":[
					{"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"bad","timeoutMs":1000,"maxAttempts":3},
					{"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","service":"bad","timeoutMs":1000},
					{"name":"search","host":"h","prefix":"/search/","kind":"safe","shards":[%s,%s,%s],"resultCount":5,"minSuccessShare":0.3,"timeoutMs":1000,"maxAttempts":2}],
					"services":[{"name":"bad","maxConnections":30}]}`, shards[0], shards[1], shards[2]))
				g := p.startInstance(t, 1)
				time.Sleep(3 * time.Second)
				for round := range 8 {
					for _, path := range []string{"/safe/", "/unsafe/", "/search/"} {
						calls = 0
						begin := time.Now()
						got, err := sendRaw(p.ctx, p, g, 0, textRequest("POST", path+fmt.Sprint(round%2), fmt.Sprintf("%s-%d", path[1:4], round), "", 0))
						if want := []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}; err != nil || !slices.Contains(want, got) {
							t.Errorf("%s: status %d, error %v, want a failure", path, got, err)
						}
						if got == http.StatusServiceUnavailable && calls > 0 {
							t.Errorf("%s: answered as not run after %d calls", path, calls)
						}
						if path == "/unsafe/" && calls > 1 {
							t.Errorf("%s: sent %d times", path, calls)
						}
						if took := time.Since(begin); took > 1500*time.Millisecond {
							t.Errorf("%s: answered after %v", path, took)
						}
					}
				}
				if suspects := g.suspects.All(); len(suspects) > 0 {
					t.Errorf("requests count as ones that crash servers: %v", suspects)
				}
			})
		})
	}
}
