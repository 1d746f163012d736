package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilward.org/lentilctl/render"
)

// Guards against sums that lack an instance without a word, and against homes in dispute
// that are not shown.
func TestTenantsAreSummedOverInstances(t *testing.T) {
	var instances []string
	for _, body := range []string{
		`[{"name":"b","rate":2,"burst":2,"home":"10.0.0.1:1","use":0.5,"asked":4,"allowed":3,"refused":1},{"name":"a","asked":1,"allowed":1}]`,
		`[{"name":"b","rate":2,"burst":2,"home":"10.0.0.2:1","use":0.75,"asked":6,"allowed":6,"lent":9}]`,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/tenants" {
				http.NotFound(w, r)
				return
			}
			w.Write([]byte(body))
		}))
		defer s.Close()
		instances = append(instances, strings.TrimPrefix(s.URL, "http://"))
	}
	var out strings.Builder
	if err := Tenants(append(instances, "127.0.0.1:1"), 5*time.Second, render.New(&out, false)); err != nil {
		t.Fatal(err)
	}
	fields := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"not included: 127.0.0.1:1", "a 0 0 0.00 1 1 0 0 0 b 2 2 0.75 10 9 1 0 9 10.0.0.1:1 10.0.0.2:1"} {
		if !strings.Contains(fields, want) {
			t.Errorf("output %q lacks %q", fields, want)
		}
	}
	if err := Tenants([]string{"127.0.0.1:1"}, time.Second, render.New(&out, false)); err == nil {
		t.Error("no error although no instance replied")
	}
}
