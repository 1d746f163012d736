package main

import "time"

// Exit codes
const (
	exitFailure  = 1
	exitSettings = 2
)

// Stopping
const (
	// balancerDelay is how long a stopping instance still listens, so that the
	// balancer notices.
	balancerDelay = 500 * time.Millisecond
	// defaultGrace bounds the time for requests in flight to end.
	defaultGrace = 15 * time.Second
)

// Starting
const (
	// readyPeriod is the time between two looks at whether the instance can
	// serve.
	readyPeriod = 50 * time.Millisecond
	// readyPatience is how long a starting instance waits for its services.
	readyPatience = 5 * time.Second
	// firstContact bounds the search for peers at the start.
	firstContact = 2 * time.Second
)

// Peers
const (
	// warmthPeers is the number of peers asked which servers are warm.
	warmthPeers = 3
)

// Messages
const (
	// maxMessage is the size of the largest message of callers and operators,
	// in bytes.
	maxMessage = 4 << 20
	// headerTimeout bounds the header of an HTTP request.
	headerTimeout = 5 * time.Second
)
