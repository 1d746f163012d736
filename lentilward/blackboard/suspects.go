package blackboard

import "time"

// Suspect is a query that was running when backend servers went away.
type Suspect struct {
	Fingerprint uint64 `cbor:"fingerprint"`
	// Crashes is the number of servers lost with it.
	Crashes uint32 `cbor:"crashes"`
	// Requests is the number of requests that lost them.
	Requests uint32    `cbor:"requests"`
	Seen     time.Time `cbor:"seen"`
}

// Suspects are the queries to refuse or to run with care. It is immutable.
type Suspects struct {
	ByFingerprint map[uint64]Suspect
}

// Crashes returns the number of servers lost with a query.
func (s *Suspects) Crashes(fingerprint uint64) uint32 {
	return s.ByFingerprint[fingerprint].Crashes
}
