package domain

import "testing"

func TestMinShardsRoundsUpWithoutFloatError(t *testing.T) {
	for _, c := range []struct {
		shards      int
		minCoverage float64
		want        int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {10, 0.9, 9}, {1, 0.1, 1}, {30, 0, 1}, {90, 0.95, 86}, {3, 1, 3}} {
		r := &Route{Shards: make([]string, c.shards), MinCoverage: c.minCoverage}
		if got := r.MinShards(); got != c.want {
			t.Errorf("%d shards, minimum coverage %v: need %d shards, want %d", c.shards, c.minCoverage, got, c.want)
		}
	}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	long, short := &Route{Prefix: "/a/b/"}, &Route{Prefix: "/a/"}
	c := &Configuration{Routes: map[string][]*Route{"h": {long, short}}}
	for path, want := range map[string]*Route{"/a/b/c": long, "/a/b": short, "/a/": short, "/a": nil, "/b/": nil} {
		if got := c.Match("h", path); got != want {
			t.Errorf("%s: got %v, want %v", path, got, want)
		}
	}
	if c.Match("other", "/a/") != nil {
		t.Error("matched a route of another host")
	}
}
