package rollouts

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilward.org/lentilctl/render"
)

// Guards against rollouts that are shown without what operators need, and against an
// instance that does not answer and hides the others.
func TestShow(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rollouts" {
			http.NotFound(w, r)
			return
		}
		w.Write([]byte(`[{"service":"s","target":"v2","present":"v1","state":"rolled-back","controller":"i-1","elapsed-seconds":99,
			"duration-seconds":12,"exposed":20,"requests":100,"samples":10,"bad":5,"reason":"5 of 10 replies bad","servers":{"v1":3}}]`))
	}))
	defer server.Close()
	var out bytes.Buffer
	if err := Show(time.Second, []string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")}, render.New(&out, false)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"v1 -> v2", "rolled-back", "12 of 12 s", "20 of 100", "10, 5 bad", "i-1", "5 of 10 replies bad"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	none := httptest.NewServer(http.NotFoundHandler())
	defer none.Close()
	if err := Show(time.Second, []string{strings.TrimPrefix(none.URL, "http://")}, render.New(&out, false)); err == nil || !strings.Contains(err.Error(), "settings") {
		t.Errorf("error %v", err)
	}
}
