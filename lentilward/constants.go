package main

import "time"

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "LENTILWARD_NODE_FILE"

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

// Defaults of the search settings
const (
	// defaultRepeatRatio, defaultRepeatSlack and defaultRepeatWindow bound the
	// repeats of all instances together.
	defaultRepeatRatio  = 0.2
	defaultRepeatSlack  = 50
	defaultRepeatWindow = 10 * time.Second
	// defaultAnswerMargin is the time that an answer needs to reach its caller.
	defaultAnswerMargin = 15 * time.Millisecond
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

// Platform
const (
	// rotationDelay is how long a stopping instance goes on to listen: the
	// balancer asks once a second and takes an instance out after two misses.
	rotationDelay = 2500 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process
	// ends.
	exitMargin = 300 * time.Millisecond
	// watchWait is how long a watch of the store waits. With a second more a
	// watch that went silent is given up within the time in which a
	// configuration must be in force.
	watchWait = 2500 * time.Millisecond
	// readers is the number of instances that read the store while all is well.
	readers = 4
	// peersFirst is how long a process that has just started waits for peers
	// before it reads the store.
	peersFirst = 800 * time.Millisecond
	// staleAge is the age of the records from which on an instance reads the
	// store itself, and currentAge that from which on it does not vouch for them.
	staleAge   = 4 * time.Second
	currentAge = 6 * time.Second
	// helperPart is the least part of the most parts that a helper's data centre
	// has.
	helperPart = 0.7
	// introducePeriod is the time between two looks for a peer to learn from after
	// the start.
	introducePeriod = 200 * time.Millisecond
	// enlistPeriod is the time between two looks at whether to be listed.
	enlistPeriod = 2 * time.Second
	// storeConnections is the number of idle connections to the store that are
	// kept, storeIdle for how long.
	storeConnections = 4
	storeIdle        = 30 * time.Second
	// storeDialTimeout bounds an attempt to connect to the store.
	storeDialTimeout = 1500 * time.Millisecond
	// meetTime is how long after the start the number of seeds stands for that
	// of the instances.
	meetTime = 5 * time.Second
	// memoryPart is the part of the memory of the machine that the heap uses.
	memoryPart = 0.7
)

// Messages
const (
	// maxMessage is the size of the largest message of callers and operators,
	// in bytes.
	maxMessage = 4 << 20
	// headerTimeout bounds the header of an HTTP request.
	headerTimeout = 5 * time.Second
)
