// Package holder decides which instances hold the connections to the backend servers of
// searches, where the instances outnumber the connections that a server accepts.
//
// Everything in plan.go, divide.go and rank.go is a pure function of its input, so that
// instances that know the same members come to the same result.
package holder

import (
	"net/netip"
	"time"
)

const (
	// UsableShare is the share of a server's maximum number of connections that is
	// divided among the instances. The rest covers moments at which they disagree.
	UsableShare = 0.9
	// moveShare is the share of the usable connections that is left for holders that
	// replace others which have not given up their connections yet.
	moveShare = 1.0 / 8
	// maxDirectShare bounds the share of the usable connections for direct calls by
	// instances that are not holders.
	maxDirectShare = 0.5
	// minPerHolder is the number of connections to a server that a holder should have,
	// so that one slow reply does not block the next call.
	minPerHolder = 2
	// maxPerHolder bounds the connections of a holder to one server: no more calls run
	// on it at the same time.
	maxPerHolder = 8
	// MaxHolders is the number of holders in a data centre where connections allow it.
	// Two large machines carry the load of a data centre of 37, so four leave two spare.
	MaxHolders = 4
	// maxGroupServers bounds the servers that a holder of one group calls. It is counted
	// with one server of each service in each data centre, so that servers that are
	// replaced or withdrawn do not change the groups.
	maxGroupServers = 700
	// weightExponent makes machines with a larger share of a core much more likely to be
	// holders: a search of 90 calls takes about 5 ms of a core, which a machine with 0.13
	// of a core has twice in a period of 100 ms, and one with 0.8 fifteen times.
	weightExponent = 3
)

// Member is an instance that may be a holder.
type Member struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data-centre"`
	// CPUShare is the share of a core that the machine has; 0 if it is not known, which
	// counts as the average.
	CPUShare float64 `json:"cpu-share,omitempty"`
}

// Service is a service whose servers are called by searches.
type Service struct {
	MaxConnections int
	// Direct is set if instances call the servers for requests that are not handed
	// over, so that the connections of those that are not holders stay as they are.
	Direct bool
}

// Search is the set of services that a search calls. Searches over the same services
// have the same key.
type Search struct {
	Key      string
	Services []string
}

// Input is what a plan is made from.
type Input struct {
	Self    string
	Members []Member
	// Size is the number of instances, those that are not known now included, and
	// DataCentreSizes the same for each data centre.
	Size            int
	DataCentreSizes map[string]int
	Services        map[string]Service
	Searches        []Search
	// Minority is set if this instance knows less than half of the instances. It then
	// holds nothing: many such instances would take themselves for holders.
	Minority bool
}

// IsNeeded reports whether instances outnumber the connections that a server allows.
func IsNeeded(maxConnections, instances int) bool {
	return UsableShare*float64(maxConnections) < float64(instances)
}

// Part is the part of a search that one holder runs: the indexes of its services.
type Part struct {
	Group    int
	Services []int
}

// Outcome is how a hand-over ended.
type Outcome struct {
	// Answered is set if the holder has sent results, after the time Took.
	Answered bool
	Took     time.Duration
	// Allowed is the time within which results should have been sent.
	Allowed time.Duration
	// Ignored is set if nothing can be told about the holder.
	Ignored bool
}
