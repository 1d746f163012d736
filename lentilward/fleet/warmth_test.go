package fleet

import (
	"testing"
	"time"
)

// Queries about servers that stay cold must back off. A new cold server must be
// queried at once.
func TestWarmthQueriesBackOff(t *testing.T) {
	var p pacer
	now := time.Unix(0, 0)
	queries := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if p.allow(7, now) {
			queries++
		}
	}
	if queries > 10 {
		t.Errorf("%d queries in a minute, want at most 10", queries)
	}
	if !p.allow(8, now) {
		t.Error("query about a new cold server is not allowed at once")
	}
}
