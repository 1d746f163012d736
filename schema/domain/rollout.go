package domain

import "time"

// RolloutState is the state of a rollout.
type RolloutState string

// The states of a rollout. In RolloutMoving the new version is judged to be good, and
// all first calls go to it.
const (
	RolloutRunning    RolloutState = "running"
	RolloutMoving     RolloutState = "moving"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// IsFinal reports whether the rollout has ended.
func (s RolloutState) IsFinal() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutOrder is an operator's order to move a service's traffic to a version.
type RolloutOrder struct {
	Service  string
	Target   string
	Duration time.Duration
}

// RolloutRecord is what the instances store about the rollout of a service. The
// controller alone writes it, each time on the condition that it has not changed.
type RolloutRecord struct {
	// OrderRevision is the revision of the order that the record is about.
	OrderRevision uint64 `json:"order-revision"`
	Target        string `json:"target"`
	// Present is the version that was in use before the order; "" if there was no single
	// one.
	Present    string       `json:"present"`
	Controller string       `json:"controller"`
	State      RolloutState `json:"state"`
	// Exposed is the number of first calls for which permits may have been handed out.
	Exposed int `json:"exposed"`
	// BegunAtMs is the time of day at which the order became known, in Unix milliseconds,
	// and ElapsedMs the time since then at the last write.
	BegunAtMs int64 `json:"begun-at"`
	ElapsedMs int64 `json:"elapsed-ms"`
	// Requests, Samples and Bad are the requests of the service, the replies of the new
	// version and the bad ones among these, as known at the last write.
	Requests int    `json:"requests"`
	Samples  int    `json:"samples"`
	Bad      int    `json:"bad"`
	Reason   string `json:"reason,omitempty"`
	// Writes counts the writes of the service's record, so that the newer one of two is known
	// although the store has come back from an older copy in between.
	Writes int `json:"writes,omitempty"`
}
