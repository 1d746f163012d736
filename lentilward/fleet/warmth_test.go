package fleet

import (
	"testing"
	"time"
)

// Servers that stay cold are asked about ever more rarely; a new one at once.
func TestQuestionsAboutWarmthBecomeRare(t *testing.T) {
	var p pacer
	now := time.Unix(0, 0)
	asked := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if p.due(7, now) {
			asked++
		}
	}
	if asked > 10 {
		t.Errorf("asked %d times in a minute, want at most 10", asked)
	}
	if !p.due(8, now) {
		t.Error("a new cold server must be asked about at once")
	}
}
