package rollout

import (
	"time"

	"lentilward.org/schema/domain"
)

// Order is an order with what this instance knows of its age.
type Order struct {
	domain.RolloutOrder
	// Revision identifies the order in an era of the store; 0 if there is none.
	Revision, Era uint64
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
	// IsOrderLost is set while the store has not got the order since it has come back from an
	// older copy.
	IsOrderLost bool
}

// RecordState is the record of a rollout as an instance knows it.
type RecordState struct {
	domain.RolloutRecord
	// Revision is the record's revision; 0 if there is none. KnownAt is when the instance
	// learned of it.
	Revision uint64
	KnownAt  time.Time
	// Era is the era of the store that has Revision. IsLost is set if the store has only an
	// older record, or none, since it has come back from a copy.
	Era    uint64
	IsLost bool
}

// IsRecorded reports whether the record is about the present order.
func (s State) IsRecorded() bool {
	return IsAbout(s.Record.RolloutRecord, s.Order)
}

// IsAbout reports whether a record is about an order. A revision may have been given to
// another order in an earlier era.
func IsAbout(r domain.RolloutRecord, o Order) bool {
	return r.State != "" && r.OrderRevision == o.Revision && r.Target == o.Target
}

// Is reports whether a message is about the order. Instances of older builds name no era.
func (o Order) Is(revision, era uint64) bool {
	return o.Revision != 0 && o.Revision == revision && (o.Era == era || o.Era == 0 || era == 0)
}
