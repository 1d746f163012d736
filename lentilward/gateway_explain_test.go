package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/directory"
	"lentilward.org/platform"
)

// explainBy asks the monitor of an instance.
func explainBy(t *testing.T, g *Gateway, path, tenant string) explanation {
	t.Helper()
	w := httptest.NewRecorder()
	query := url.Values{"host": {"h:80"}, "path": {path}, "tenant": {tenant}}
	g.serveExplanations(http.NotFoundHandler()).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/explain?"+query.Encode(), nil))
	var e explanation
	if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
		t.Fatalf("status %d, body %s: %v", w.Code, w.Body, err)
	}
	return e
}

// Guards against explanations that differ from what requests get, for routes that need a
// key or not, and against servers out of service that are left out or get a place in the order.
func TestExplanationAgreesWithRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeyPlatform(t)
		var unstarted Gateway
		unstarted.options.Store(&Options{})
		unstarted.directory = &directory.Directory{}
		if e := unstarted.explain("h", "/a/", "", time.Now()); e.Refused != "no-configuration" {
			t.Errorf("without a configuration: %+v", e)
		}
		address := netip.MustParseAddrPort("10.9.0.1:80").String()
		p.write(t, standin.ServerKey("i-2"), string(standin.Server{Service: "s1", Address: address, DataCentre: "z1", Draining: true}.Record()))
		p.write(t, standin.ServerKey("i-3"), string(standin.Server{Service: "s1", Address: address, DataCentre: "z2"}.Record()))
		p.write(t, "op/evacuate/z2", "{}")
		route := func(name, extra string) string {
			return `{"name":"` + name + `","host":"h","prefix":"/` + name + `/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"maxAttempts":2,"priority":3,` + extra + `}`
		}
		p.write(t, platform.ConfigurationKey, `{"version":1,"routes":[`+route("a", `"service":"s1"`)+`,`+route("public", `"service":"s1","public":true`)+`,`+
			route("search", `"shards":["s1","s2"],"resultCount":5,"minSuccessShare":0.5,"public":true`)+`,`+route("none", `"service":"s2","public":true`)+
			`],"services":[{"name":"s1","maxConnections":30},{"name":"s2","maxConnections":30}],"tenants":[{"name":"acme","apiKeys":["k"],"priority":1}]}`)
		g := p.startInstance(t, 1)
		time.Sleep(8 * time.Second)
		for _, c := range []struct {
			path, tenant, key  string
			status             int
			refused, route     string
			priority, services int
		}{
			{"/a/x", "acme", "k", 200, "", "a", 1, 1},
			{"/a/x", "", "", 401, "unauthorized", "a", 3, 1},
			{"/a/x", "nobody", "n", 401, "unauthorized", "a", 3, 1},
			{"/public/x", "", "", 200, "", "public", 3, 1},
			{"/none/x", "", "", 503, "no-server", "none", 3, 1},
			{"/x", "", "", 404, "no-route", "", 0, 0},
			{"/search/x", "", "", 200, "", "search", 3, 2},
		} {
			var keys []string
			if c.key != "" {
				keys = []string{c.key}
			}
			e := explainBy(t, g, c.path, c.tenant)
			if e.Refused != c.refused || e.Route != c.route || e.Priority != c.priority || len(e.Services) != c.services || e.Search != (c.route == "search") {
				t.Errorf("%s of %q: %+v, want %+v", c.path, c.tenant, e, c)
			}
			if got := callWithKeys(g, c.path, keys...); got.Code != c.status && c.route != "search" {
				t.Errorf("%s of %q: status %d, want %d", c.path, c.tenant, got.Code, c.status)
			}
		}
		var got []string
		for _, s := range explainBy(t, g, "/public/", "").Services[0].Servers {
			got = append(got, s.ID+" "+strings.Join(s.States, ","))
			if s.Usable != (s.ID == "i-1") {
				t.Errorf("server %+v", s)
			}
		}
		if s := strings.Join(got, "; "); s != "i-1 in-service; i-2 draining; i-3 withdrawn" {
			t.Errorf("servers %s", s)
		}
		p.network.isolate(storeAddress.Addr().String())
		time.Sleep(10 * time.Second)
		if e := explainBy(t, g, "/a/", "acme"); e.Refused != "unverified" {
			t.Errorf("with an old proof: %+v", e)
		}
		if e := explainBy(t, g, "/x", ""); e.Refused != "no-configuration" {
			t.Errorf("with an old configuration: %+v", e)
		}
	})
}

// Guards against an explanation that does not say that a holder runs the search, and against
// one that counts as a search.
func TestExplanationNamesHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newScarcePlatform(t, holderConnections)
		fleet := p.start(t, holderInstances)
		time.Sleep(15 * time.Second)
		handed, own := 0, 0
		for _, g := range fleet {
			before := g.holders.handed.Load()
			e := explainBy(t, g, "/all/", "")
			if len(e.Groups) == 0 {
				own++
			} else if group := e.Groups[0]; group.Shards != holderShards || len(group.Holders) == 0 || !group.Holders[0].Connected || !e.Services[0].Held {
				t.Errorf("groups %+v", e.Groups)
			}
			if g.holders.handed.Load() != before {
				t.Error("the explanation was handed over")
			}
			if statusOf(g, "/all/") != http.StatusOK {
				t.Error("the search failed")
			}
			if ran := g.holders.handed.Load() != before; ran != (len(e.Groups) > 0) {
				t.Errorf("handed over: %v, groups %+v", ran, e.Groups)
			} else if ran {
				handed++
			}
		}
		if handed == 0 || own == 0 {
			t.Errorf("%d instances hand searches over, %d don't", handed, own)
		}
	})
}

// Guards against a monitor address that does not answer, or answers nothing else any more.
func TestMonitorAnswersWithExplanations(t *testing.T) {
	b := newTestPlatform(t)
	b.publishConfiguration(3, `"s1","s2"`)
	b.startBackendServer("i-1", "s1", "z1")
	o, _ := b.startInstance("one")
	b.awaitReply(o, "POST", "/one/x", "200 i-1")
	for path, want := range map[string]string{
		"/explain?host=h&path=/one/x": `"route":"one"`, "/explain?host=h": "host and path are required", "/tenants": "[]", "/metrics": "go_goroutines",
	} {
		response, err := http.Get("http://" + o.Listen.Monitor.String() + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || !strings.Contains(string(body), want) {
			t.Errorf("%s: %s, error %v, want %q", path, body, err, want)
		}
	}
	if runs := b.runs["i-1"].Load(); runs != 1 {
		t.Errorf("the server got %d requests, want 1", runs)
	}
}
