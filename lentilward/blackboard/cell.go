// Package blackboard holds the state that the components of one instance share.
// Each cell has one writer; a reader loads a cell once and works on that value.
package blackboard

import "sync/atomic"

// Cell holds one value that is replaced as a whole (read-copy-update). The zero
// Cell is empty.
type Cell[T any] struct {
	value   atomic.Pointer[T]
	changed atomic.Pointer[chan struct{}]
}

// Load returns the current value, or nil if there is none. The value must not
// be modified.
func (c *Cell[T]) Load() *T {
	return c.value.Load()
}

// Store replaces the value and closes the channel that Changed returned.
func (c *Cell[T]) Store(v *T) {
	c.value.Store(v)
	if ch := c.changed.Swap(nil); ch != nil {
		close(*ch)
	}
}

// Changed returns a channel that the next Store closes. Call it before Load so
// that no change is missed.
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

// Board is the shared state of one instance.
type Board struct {
	// Config is written through Install, by any component that receives a newer
	// configuration.
	Config Cell[Config]
	// Routes is written by the backend controller.
	Routes Cell[Routes]
	// Members is written by the membership controller.
	Members Cell[Members]
	// Suspects is written by suspect.List.
	Suspects Cell[SuspectRequests]
	// LocalInstance is written by package main.
	LocalInstance Cell[LocalInstance]
}

// New returns a board with the given value in the cell LocalInstance and an empty
// value in every other cell.
func New(local LocalInstance) *Board {
	b := &Board{}
	b.Config.Store(&Config{})
	b.Routes.Store(&Routes{})
	b.Members.Store(&Members{})
	b.Suspects.Store(&SuspectRequests{})
	b.LocalInstance.Store(&local)
	return b
}

// Phase is the lifecycle phase of an instance.
type Phase int

// The phases, in the order in which an instance passes through them.
const (
	Starting Phase = iota
	Serving
	Stopping
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "stopping"}[p]
}

// LocalInstance describes this instance to its own components.
type LocalInstance struct {
	Name       string
	DataCentre string
	Phase      Phase
}
