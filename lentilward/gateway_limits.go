package main

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/quota"
)

// serverLimitSettings say how exact the limits are kept that backend servers name: in a
// window a server gets at most half more than its limit allows, and a few requests.
var serverLimitSettings = quota.Settings{Window: 4 * time.Second, Overage: 0.5, Slack: 5}

// lostServerPeriod is how long a lost instance counts among those that share the limit of a
// server. One that is cut off for longer uses its even share beside them, for which the
// overage leaves room.
const lostServerPeriod = 10 * time.Second

// serverLimitGroups is the number of groups of servers; the servers of a group have the same
// home, so that the questions of one search go to few instances.
const serverLimitGroups = 8

// connectServerLimits connects the components that keep the calls to each backend server
// within the limit that it names for all instances together.
func (g *Gateway) connectServerLimits() {
	l := newLending(g, serverLimitSettings, "backend servers", lostServerPeriod)
	l.ask, l.askHomes = quota.NewBatcher(g.links.AskServerLimits).Ask, g.links.ServerLimitHomes
	l.homes.Key, l.home.Key = serverLimitKey, serverLimitKey
	l.isUsed = func() bool { return g.directory.ServersNamingLimit() > 0 || l.home.IsUsed() }
	g.serverLimits = l
	g.peers.LendServerLimit, g.peers.ServerLimitHomes = l.lend, l.homesOf
}

// serverLimitKey returns the key of a backend server's group.
func serverLimitKey(id string) string {
	return "server-limits " + strconv.FormatUint(xxhash.Sum64String(id)%serverLimitGroups, 10)
}
