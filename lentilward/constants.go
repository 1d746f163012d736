package main

import "time"

// settingsFileVariable is the environment variable that names the settings file
// where the command line does not.
const settingsFileVariable = "LENTILWARD_NODE_FILE"

// Exit codes
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// Shutdown
const (
	// shutdownDelay is how long a stopping instance continues to listen, so that
	// the load balancer can take it out of rotation.
	shutdownDelay = 500 * time.Millisecond
	// defaultGracePeriod bounds the time that a stopping instance waits for
	// requests in flight.
	defaultGracePeriod = 15 * time.Second
)

// Defaults of the search settings
const (
	// defaultRetryRatio, defaultRetrySlack and defaultRetryWindow are the
	// default retry budget of a service, shared by all instances: within a
	// window, the number of hedges and retries is at most the ratio times the
	// number of requests, plus the slack.
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 50
	defaultRetryWindow = 10 * time.Second
	// defaultAnswerMargin is the time allowed for an answer to reach its caller.
	defaultAnswerMargin = 15 * time.Millisecond
)

// defaultApply is the default of the time within which an accepted configuration
// must be in force.
const defaultApply = 3 * time.Second

// Defaults of the settings of rollouts and allowances
const (
	defaultRollback     = 5 * time.Second
	defaultQuotaWindow  = 5 * time.Second
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20
)

// Start-up
const (
	// readyCheckInterval is the interval between checks whether a starting
	// instance can serve.
	readyCheckInterval = 50 * time.Millisecond
	// readyTimeout is how long a starting instance that has a configuration
	// waits for its services to be reachable.
	readyTimeout = 5 * time.Second
	// peerFetchTimeout bounds a read of the list of instances and a fetch of
	// records or of a configuration from a peer.
	peerFetchTimeout = 2 * time.Second
)

// Peers
const (
	// maxWarmthPeers is the number of peers asked which backend servers are
	// warm.
	maxWarmthPeers = 3
)

// Platform
const (
	// platformShutdownDelay is how long a stopping instance continues to listen:
	// the load balancer checks readiness once a second and takes an instance out
	// of rotation after two failed checks.
	platformShutdownDelay = 2500 * time.Millisecond
	// exitMargin is how long before the end of the grace period the wait for
	// requests in flight ends and the process exits.
	exitMargin = 300 * time.Millisecond
	// lastAnswerMargin is how long before the end of the grace period the last
	// request gets its final answer.
	lastAnswerMargin = time.Second
	// stopQuietPeriod is how long a stopping instance that accepts no connections any
	// more waits for another request on those that are open.
	stopQuietPeriod = 200 * time.Millisecond
	// maxWatchWait and minWatchWait bound how long a watch asks the store to wait for
	// changes.
	maxWatchWait = 2500 * time.Millisecond
	minWatchWait = 500 * time.Millisecond
	// applyReserve is the part of the time to apply a configuration that is left for
	// another call to the store after a watch was cancelled.
	applyReserve = 300 * time.Millisecond
	// storeReaderCount is the number of instances that read the store in normal
	// operation; the others get its records from them.
	storeReaderCount = 4
	// firstStoreReadDelay is how long a process that has just started waits for
	// records from peers before it reads the store.
	firstStoreReadDelay = 800 * time.Millisecond
	// replicaReserve is the part of the time to apply a configuration, and of the drain
	// period, that is left for reading the store once the replica is out of date.
	replicaReserve = 900 * time.Millisecond
	// minGathererShare is the minimum number of shards in the data centre of a
	// gatherer, as a share of the largest number in any data centre.
	minGathererShare = 0.7
	// gatherersPerDataCentre is the number of peers in each other data centre that gather
	// for this instance.
	gatherersPerDataCentre = 2
	// connectPeerTimeout bounds an attempt to connect to a gatherer or to check its
	// connection.
	connectPeerTimeout = 500 * time.Millisecond
	// peerCheckInterval is the shortest time between two checks of all connections to
	// peers.
	peerCheckInterval = time.Second
	// stateTransferInterval is the pause between attempts to fetch state from a
	// peer after the start.
	stateTransferInterval = 200 * time.Millisecond
	// registrationCheckInterval is the interval between checks whether this
	// instance reads the store and therefore has to register.
	registrationCheckInterval = 2 * time.Second
	// maxIdleStoreConnections bounds the idle connections to the store, and
	// storeIdleTimeout how long each stays open.
	maxIdleStoreConnections = 4
	storeIdleTimeout        = 30 * time.Second
	// storeDialTimeout bounds an attempt to connect to the store.
	storeDialTimeout = 1500 * time.Millisecond
	// discoveryPeriod is the time after the start that an instance has to
	// discover its peers. Until it has passed, the number of instances is taken
	// to be at least that given by the seeds.
	discoveryPeriod = 5 * time.Second
	// fleetRecoveryPeriod is how long after its start an instance that knows fewer
	// instances than the store remembers counts those that are missing, and
	// fleetKnownShare the share of them that has to be known. A member that is lost counts
	// for as long.
	// An instance that knows less than fleetMajorityShare counts them at any time.
	fleetRecoveryPeriod = time.Minute
	fleetKnownShare     = 0.9
	fleetMajorityShare  = 0.5
	// fleetCheckInterval is the interval between checks of the record of the fleet,
	// fleetWriteDelay how long it must be wrong before it is written, and fleetShrinkDelay
	// the same if instances are missing: they may return together.
	fleetCheckInterval = 5 * time.Second
	fleetWriteDelay    = 20 * time.Second
	fleetShrinkDelay   = 10 * time.Minute
	// minStartConnections is the number of connections to a server for each instance that
	// is expected, below which an instance that has just started opens one.
	minStartConnections = 2
	// roundingWindows is the number of windows of the retry budget for which the random
	// rounding of a small part of it is kept.
	roundingWindows = 3
	// heapMemoryShare is the share of the machine's memory that the memory limit
	// of the Go runtime is set to.
	heapMemoryShare = 0.7
	// replyMemoryShare, requestMemoryShare and peerMemoryShare are the shares of the
	// machine's memory for the replies of backend servers, for the requests of callers
	// and for the messages of peers. A message takes up to three times its size while it
	// grows or is decoded.
	replyMemoryShare   = 0.2
	requestMemoryShare = 0.1
	peerMemoryShare    = 0.05
)

// Messages
const (
	// maxMessageBytes bounds a message from an operator.
	maxMessageBytes = 4 << 20
	// maxHeaderBytes bounds the header of a request to the ports other than that for
	// callers.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time in which the header of an HTTP request must
	// arrive.
	headerTimeout = 5 * time.Second
)
