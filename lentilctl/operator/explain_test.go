package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilward.org/lentilctl/render"
)

// Guards against explanations that lack what operators need, against a tenant or path that
// is not passed on, and against an instance that is down and hides the others.
func TestExplainShowsEachInstance(t *testing.T) {
	var instances []string
	for _, body := range []string{
		`{"instance":"one","data-centre":"z1","configuration-version":7,"route":"all","priority":2,"search":true,"shards":12,"more-services":10,
		"searches-per-second":1.5,"refused":"overloaded","message":"the limit of searches permits none now",
		"held-groups":[{"shards":12,"holders":[{"name":"h1","address":"10.0.0.9:1","data-centre":"z1","state":"alive"}]}],
		"services":[{"name":"s1","held":true,"servers":[
		{"id":"a","data-centre":"z1","version":"v2","states":["paced","cold"],"usable":true,"expected-cost":1.234,"in-flight":2,"limit":3,"share":0.25},
		{"id":"b","data-centre":"z2","states":["withdrawn"],"limit":3}]},{"name":"s2","servers":[]}]}`,
		`{"instance":"two","data-centre":"z2","configuration-version":7,"refused":"no-route","message":"no route"}`,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if q := r.URL.Query(); r.URL.Path != "/explain" || q.Get("host") != "h" || q.Get("path") != "/a?b&c" || q.Get("tenant") != "acme" {
				http.NotFound(w, r)
				return
			}
			w.Write([]byte(body))
		}))
		defer s.Close()
		instances = append(instances, strings.TrimPrefix(s.URL, "http://"))
	}
	var out strings.Builder
	if err := Explain(append(instances, "127.0.0.1:1"), "h", "/a?b&c", "acme", 5*time.Second, render.New(&out, false)); err != nil {
		t.Fatal(err)
	}
	missing, rest, _ := strings.Cut(out.String(), "\n")
	if !strings.HasPrefix(missing, "not included: 127.0.0.1:1") {
		t.Errorf("first line %q", missing)
	}
	want := `one (z1): refused: overloaded (the limit of searches permits none now); route all, priority 2, search of 12 shards; configuration 7
  limit of searches in force: 1.50 a second
  12 shards at one of the holders h1 10.0.0.9:1 (z1, alive, not connected)
  10 more shards are not shown
two (z2): refused: no-route (no route); configuration 7
INSTANCE  SERVICE    ORDER  SERVER  DATA CENTRE  STATE             COST  IN FLIGHT  VERSION
one       s1 (held)  1      a       z1           paced,cold (25%)  1.23  2 of 3     v2
one       s1 (held)  -      b       z2           withdrawn         -     0 of 3     
one       s2         -      none                                                    
`
	if rest != want {
		t.Errorf("output\n%s\nwant\n%s", rest, want)
	}
	if err := Explain([]string{"127.0.0.1:1"}, "h", "/", "", time.Second, render.New(&out, false)); err == nil {
		t.Error("no error although no instance replied")
	}
}
