// Package blackboard is the state that the controllers of one instance share.
// Each cell has one writer; readers load a cell once and keep what they loaded.
package blackboard

import "sync/atomic"

// Cell holds one value by read-copy-update. The zero Cell is empty.
type Cell[T any] struct {
	value   atomic.Pointer[T]
	changed atomic.Pointer[chan struct{}]
}

// Load returns the current value, or nil if there is none. The value must not
// be modified.
func (c *Cell[T]) Load() *T {
	return c.value.Load()
}

// Store replaces the value and wakes those that wait for a change.
func (c *Cell[T]) Store(v *T) {
	c.value.Store(v)
	if ch := c.changed.Swap(nil); ch != nil {
		close(*ch)
	}
}

// Changed returns a channel that is closed by the next Store. Call it before
// Load so that no change is missed.
func (c *Cell[T]) Changed() <-chan struct{} {
	for {
		if ch := c.changed.Load(); ch != nil {
			return *ch
		}
		ch := make(chan struct{})
		if c.changed.CompareAndSwap(nil, &ch) {
			return ch
		}
	}
}

// Board has one cell per subject.
type Board struct {
	// Config is written through Install, by whoever learns of a newer one.
	Config Cell[Config]
	// Routes is written by the backend controller.
	Routes Cell[Routes]
	// Members is written by the membership controller.
	Members Cell[Members]
	// Suspects is written by suspect.List.
	Suspects Cell[Suspects]
	// Own is written by the core.
	Own Cell[Own]
}

// New returns a board on which every cell has an empty value.
func New(own Own) *Board {
	b := &Board{}
	b.Config.Store(&Config{})
	b.Routes.Store(&Routes{})
	b.Members.Store(&Members{})
	b.Suspects.Store(&Suspects{})
	b.Own.Store(&own)
	return b
}

// Phase is the part of its life that an instance is in.
type Phase int

// Phases in their order.
const (
	Starting Phase = iota
	Serving
	Stopping
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "stopping"}[p]
}

// Own is what an instance knows of itself.
type Own struct {
	Name       string
	DataCentre string
	Phase      Phase
}
