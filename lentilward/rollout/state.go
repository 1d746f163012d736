package rollout

import (
	"time"

	"lentilward.org/schema/domain"
)

// Order is an order with what this instance knows of its age.
type Order struct {
	domain.RolloutOrder
	// Revision identifies the order; 0 if there is none.
	Revision uint64
	// KnownAt is when it was given, as far as this instance knows.
	KnownAt time.Time
	// Late is set if this instance may have learned of the order long after that.
	Late bool
}

// State is the state of a service's rollout as this instance knows it.
type State struct {
	Service        string
	Phase          Phase
	Order          Order
	Record         RecordState
	Present        string
	Versions       map[string]int
	Held, Used     int
	Requests       int
	InFlightOthers int
}

// RecordState is the record of a rollout as an instance knows it.
type RecordState struct {
	domain.RolloutRecord
	// Revision is the record's revision; 0 if there is none. KnownAt is when the instance
	// learned of it.
	Revision uint64
	KnownAt  time.Time
}

// IsRecorded reports whether the record is about the present order.
func (s State) IsRecorded() bool {
	return s.Record.Revision != 0 && s.Record.OrderRevision == s.Order.Revision
}
