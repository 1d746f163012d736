package blackboard

import "time"

// SuspectRequest is a suspect request: backend servers were lost while they ran it.
// LastSeen is when this instance last recorded it or received an update about it.
type SuspectRequest struct {
	Fingerprint uint64 `cbor:"fingerprint"`
	// Crashes is the number of servers that were lost while they ran it.
	Crashes uint32 `cbor:"crashes"`
	// Requests is the number of times that a request with this fingerprint was
	// sent and lost servers.
	Requests uint32    `cbor:"requests"`
	LastSeen time.Time `cbor:"seen"`
}

// SuspectRequests holds the suspect requests by fingerprint. It is immutable.
type SuspectRequests struct {
	ByFingerprint map[uint64]SuspectRequest
}

// Crashes returns the number of servers that were lost while they ran the request
// with this fingerprint.
func (s *SuspectRequests) Crashes(fingerprint uint64) uint32 {
	return s.ByFingerprint[fingerprint].Crashes
}
