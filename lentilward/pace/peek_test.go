package pace

import (
	"testing"
	"time"
)

// Guards against a look at the weight that causes a report to peers or moves the state.
func TestPeekChangesNothing(t *testing.T) {
	now := time.Now()
	p := New(now)
	p.Observe(true, 1, now.Add(100*time.Millisecond))
	p.unreported = Marks{}
	state, at, later := p.state, p.at, now.Add(500*time.Millisecond)
	got := p.Peek(later)
	if p.state != state || p.at != at || p.used || p.unreported != (Marks{}) {
		t.Errorf("the pace has changed: state %+v, used %v", p.state, p.used)
	}
	if want := p.Weight(later); got != want {
		t.Errorf("Peek returned %v, Weight %v", got, want)
	}
}
