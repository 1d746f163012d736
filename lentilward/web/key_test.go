package web

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilward.org/lentilward/suspect"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// headersSeen collects the headers of the calls to a backend server.
type headersSeen struct {
	mu      sync.Mutex
	headers []http.Header
}

func (h *headersSeen) serve(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.headers = append(h.headers, r.Header.Clone())
	h.mu.Unlock()
	echoRequest(w, r)
}

// take returns the headers of the calls since the last one.
func (h *headersSeen) take() []http.Header {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.headers
	h.headers = nil
	return taken
}

// withTenants gives the server's configuration tenants by their keys, and the public route
// /public/ beside /a/.
func withTenants(s *Server, tenants map[string]*domain.Tenant) {
	next := *s.directory.Current.Load()
	c := *next.Configuration
	private, public := *c.Routes["h"][0], *c.Routes["h"][0]
	public.Prefix, public.Public = "/public/", true
	c.Routes = map[string][]*domain.Route{"h": {&private, &public}}
	c.Tenants, c.Keys = make(map[string]*domain.Tenant), make(map[domain.KeyHash]*domain.Tenant)
	for key, tenant := range tenants {
		c.Tenants[tenant.Name], c.Keys[domain.HashKey(key)] = tenant, tenant
	}
	next.Configuration = &c
	s.directory.Current.Store(&next)
}

// sendWithKeys sends a request with values of the key's header and of the caller's own
// headers.
func sendWithKeys(t *testing.T, s *httptest.Server, target string, header http.Header, keys ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, s.URL+target, strings.NewReader("hi"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	if header != nil {
		r.Header = header.Clone()
	}
	r.Header.Set("Request-Id", "q")
	for _, key := range keys {
		r.Header.Add("X-Api-Key", key)
	}
	response, err := s.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// Guards against a request that is served without exactly one valid key, against a key or a
// caller's own tenant that reaches a server, and against a public route that needs a key.
func TestKeyDecidesWhoIsServed(t *testing.T) {
	seen := &headersSeen{}
	s, frontend := newTestServer(t, seen.serve)
	withTenants(s, map[string]*domain.Tenant{"k1": {Name: "one"}, "k2": {Name: "two"}})
	// What is admitted is what is sent to servers and gatherers, in all attempts.
	s.IsPoison = func(r *domain.Request, _ string) bool {
		if r.Keys != nil || r.Header["X-Api-Key"] != nil {
			t.Errorf("admitted with keys %x and headers %v", r.Keys, r.Header)
		}
		return false
	}
	own := http.Header{"Tenant": {"one", "two"}}
	hidden := http.Header{"Connection": {"X-Api-Key, Tenant"}, "Tenant": {"two"}}
	for _, c := range []struct {
		target string
		header http.Header
		keys   []string
		status int
		tenant string
	}{
		{"/a/", nil, []string{"k1"}, 200, "one"},
		{"/a/", nil, []string{"k2"}, 200, "two"},
		{"/a/", own, []string{"k2"}, 200, "two"},
		{"/a/", hidden, []string{"k1"}, 200, "one"},
		{"/a/", own, nil, 401, ""},
		{"/a/", nil, []string{""}, 401, ""},
		{"/a/", nil, []string{"k3"}, 401, ""},
		{"/a/", nil, []string{"k1", "k1"}, 401, ""},
		{"/a/", nil, []string{"k1", ""}, 401, ""},
		{"/a/", nil, []string{"k1,k2"}, 401, ""},
		{"/a/", nil, []string{"K1"}, 401, ""},
		{"/public/", nil, nil, 200, ""},
		{"/public/", own, []string{"k1"}, 200, ""},
		{"/public/", nil, []string{"k3", "k4"}, 200, ""},
		{"/none/", nil, nil, 404, ""},
	} {
		response := sendWithKeys(t, frontend, c.target, c.header, c.keys...)
		if response.StatusCode != c.status {
			t.Errorf("%+v: status %d", c, response.StatusCode)
		}
		calls := seen.take()
		if len(calls) != 0 != (c.status == 200) {
			t.Errorf("%+v: %d calls", c, len(calls))
		}
		for _, h := range calls {
			if h["X-Api-Key"] != nil || h.Get("Tenant") != c.tenant || len(h["Tenant"]) > 1 {
				t.Errorf("%+v: server got %v", c, h)
			}
		}
	}
}

// Guards against a change for deployments without tenants: the headers are the callers' own.
func TestHeadersPassWithoutTenants(t *testing.T) {
	seen := &headersSeen{}
	s, frontend := newTestServer(t, seen.serve)
	s.AdmitsKeys = func() bool { return false }
	if got := sendWithKeys(t, frontend, "/a/", http.Header{"Tenant": {"one", "two"}}, "k1", "k2").StatusCode; got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	if h := seen.take()[0]; len(h["X-Api-Key"]) != 2 || len(h["Tenant"]) != 2 {
		t.Errorf("server got %v", h)
	}
}

// Guards against 401 from an instance that can't know whether the key was added meanwhile,
// and against service by one that can't know whether it was withdrawn.
func TestKeysAreRefusedAsNotRunWhileUnproven(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	withTenants(s, map[string]*domain.Tenant{"k1": {Name: "one"}})
	want := func(target, key string, status int) {
		t.Helper()
		response := sendWithKeys(t, frontend, target, nil, key)
		if response.StatusCode != status || status == 503 && response.Header.Get("Retry-After") == "" {
			t.Errorf("%s with %q: status %d, headers %v", target, key, response.StatusCode, response.Header)
		}
	}
	s.IsConfigurationCurrent = func() bool { return false }
	want("/a/", "k1", 200)
	want("/a/", "k3", 503)
	want("/none/", "k1", 503)
	s.AdmitsKeys = func() bool { return false }
	want("/a/", "k1", 503)
	want("/a/", "k3", 503)
	want("/public/", "k3", 200)
	s.IsConfigurationCurrent = func() bool { return true }
	want("/a/", "k1", 503)
}

// Guards against 401 for a key of a version that came while the request was being admitted.
func TestUnknownKeyIsLookedUpInTheNewestConfiguration(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	withTenants(s, map[string]*domain.Tenant{"k1": {Name: "one"}})
	s.IsConfigurationCurrent = func() bool {
		withTenants(s, map[string]*domain.Tenant{"k2": {Name: "two"}})
		s.IsConfigurationCurrent = func() bool { return true }
		return true
	}
	if got := sendWithKeys(t, frontend, "/a/", nil, "k2").StatusCode; got != http.StatusOK {
		t.Errorf("status %d for a key that was added while the request was being admitted", got)
	}
}

// Guards against a request that runs although its key was withdrawn while its body was on
// the way, and against a check of the proof at that time: the request was sent before.
func TestKeyIsCheckedAgainWhenTheBodyHasCome(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	for _, c := range []struct {
		key  string
		want int
	}{{"k1", http.StatusUnauthorized}, {"k2", http.StatusOK}} {
		withTenants(s, map[string]*domain.Tenant{"k1": {Name: "one"}, "k2": {Name: "two"}})
		var mu sync.Mutex
		proven := true
		s.AdmitsKeys = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return proven
		}
		connection := dialFrontend(t, frontend)
		arrived := s.InFlight()
		fmt.Fprintf(connection, "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\nX-Api-Key: %s\r\nContent-Length: 4\r\n\r\nab", c.key)
		await(func() bool { return s.InFlight() > arrived })
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		proven = false
		mu.Unlock()
		withTenants(s, map[string]*domain.Tenant{"k2": {Name: "two"}})
		io.WriteString(connection, "cd")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil || response.StatusCode != c.want {
			t.Errorf("%s: %v, %v", c.key, response, err)
		}
	}
}

// Guards against a refusal that waits for a body which its caller is slow to send, and
// against one that ends the connection of a caller which has sent its body.
func TestCallerWithoutKeyIsRefusedBeforeItsBody(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	withTenants(s, map[string]*domain.Tenant{"k1": {Name: "one"}})
	connection := dialFrontend(t, frontend)
	reader := bufio.NewReader(connection)
	for _, c := range []struct {
		key, body string
		want      int
	}{{"k3", "abcd", 401}, {"k1", "abcd", 200}, {"k3", "abcd", 401}, {"k1", "abcd", 200}, {"k3", "a", 401}} {
		fmt.Fprintf(connection, "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\nX-Api-Key: %s\r\nContent-Length: 4\r\n\r\n%s", c.key, c.body)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != c.want || response.Close != (len(c.body) < 4) {
			t.Fatalf("%+v: %+v, %v", c, response, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// lockedBuffer is a buffer for the log.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against a key in the log, and against a refused one that can't be told from others.
func TestLogHasHashesInsteadOfKeys(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	var text lockedBuffer
	s.log = slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug}))
	withTenants(s, map[string]*domain.Tenant{"secret-valid": {Name: "one"}})
	for _, keys := range [][]string{{"secret-valid"}, {"secret-other"}, {"secret-valid", "secret-other"}} {
		for _, target := range []string{"/a/", "/public/", "/none/"} {
			sendWithKeys(t, frontend, target, nil, keys...)
		}
	}
	await(func() bool { return strings.Count(text.String(), "msg=request") == 9 })
	hash := domain.HashKey("secret-other")
	for part, want := range map[string]bool{"secret": false, "tenant=one": true, "key-hash=" + hex.EncodeToString(hash[:8]): true} {
		if strings.Contains(text.String(), part) != want {
			t.Errorf("log contains %q: %v\n%s", part, !want, text.String())
		}
	}
}

// Guards against a fingerprint of a poison request, which peers and the store get, from
// which a key could be found out.
func TestFingerprintDoesNotDependOnKeys(t *testing.T) {
	fingerprints := make(map[uint64]bool)
	for _, key := range []string{"", "k1", "k2"} {
		r := httptest.NewRequest(http.MethodGet, "http://h/a/", nil)
		r.Header.Set("X-Api-Key", key)
		fingerprints[suspect.RequestFingerprint(platform.DecodeRequest(r), "")] = true
	}
	if len(fingerprints) != 1 {
		t.Errorf("%d fingerprints of one request with different keys", len(fingerprints))
	}
}
