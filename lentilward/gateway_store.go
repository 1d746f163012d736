package main

import (
	"context"
	"errors"
	"slices"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/platform"
)

// emptyPrefix precedes no key of the store: a read of it has only the store's version.
const emptyPrefix = "lentilward/none/"

// connectStore connects the components that read and write the store.
func (g *Gateway) connectStore(store *platform.Store) {
	g.follower.List = func(ctx context.Context, after string) (*mirror.Page, error) {
		return toMirrorPage(store.Range(ctx, "", after))
	}
	g.follower.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*mirror.Page, error) {
		page, err := store.Watch(ctx, "", after, wait)
		if errors.Is(err, platform.ErrReplyTooLarge) {
			g.log.Warn("the changes since the last call to the store are too many for one reply", "after", after)
			return nil, mirror.ErrCompacted
		}
		return toMirrorPage(page, err)
	}
	g.follower.ReadVersion = func(ctx context.Context) (blackboard.Version, error) {
		page, err := store.Range(ctx, emptyPrefix, "")
		if err != nil {
			return blackboard.Version{}, err
		}
		return blackboard.Version{Era: page.Era, Revision: page.Revision}, nil
	}
	g.follower.MaxWatchWait = watchWait(time.Duration(g.options.Load().Apply))
	g.follower.ReadsStore = g.readsStore
	g.follower.ReadsForPeers = func() bool { return g.board.Members.Load().Rank("store") < storeReaderCount }
	g.checkStore = func() {
		if g.follower.ReadsForPeers() {
			store.CloseIdleConnections()
			g.follower.Confirm()
		}
	}
	o := g.options.Load()
	g.registrar = newRegistrar(store, o.Name, o.Listen.Peers, g.log)
	g.registrar.IsRegistered = func() bool { return len(g.mirror.List(platform.InstancePrefix+o.Name)) > 0 }
	// Peers may have told of another era before the next call to the store does.
	g.registrar.Era = func() uint64 { return max(store.Era(), g.mirror.Version().Era) }
	g.poisonWriter = suspect.NewPersister(g.log)
	g.poisonWriter.Write = func(ctx context.Context, request blackboard.SuspectRequest, ttl time.Duration) error {
		return storePoisonRequest(ctx, store, request, ttl)
	}
	g.metrics.RegisterGauge("lentilward_platform_calls", "Calls to the platform.",
		func() float64 { return float64(store.Calls.Load()) })
}

// watchWait returns how long a watch may wait for changes, so that one without a
// reply is cancelled and another call made within the time to apply a configuration.
func watchWait(apply time.Duration) time.Duration {
	return min(maxWatchWait, max(minWatchWait, apply-mirror.WatchGracePeriod-applyReserve))
}

// toMirrorPage converts the page and error of a store call to those that
// mirror.Follower expects.
func toMirrorPage(p *platform.Page, err error) (*mirror.Page, error) {
	if errors.Is(err, platform.ErrCompacted) {
		return &mirror.Page{Version: blackboard.Version{Era: p.Era}}, mirror.ErrCompacted
	}
	if err != nil {
		return nil, err
	}
	page := &mirror.Page{
		Version: blackboard.Version{Era: p.Era, Revision: p.Revision}, More: p.More, Records: make([]mirror.Record, 0, len(p.Items)),
	}
	for _, i := range p.Items {
		page.Records = append(page.Records, mirror.Record{
			Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted,
		})
	}
	return page, nil
}

// readsStore reports whether this instance reads the store. Only a few instances
// do, so that the number of calls does not grow with the number of instances.
// The others get the records from peers, and read the store themselves when
// their replica is out of date.
func (g *Gateway) readsStore() bool {
	uptime := time.Since(g.fleet.started)
	if g.mirror.Version().IsZero() {
		return uptime > firstStoreReadDelay || slices.Contains(g.options.Load().Peers, g.options.Load().Listen.Peers)
	}
	if g.follower.Age() > g.maxReplicaAge() {
		return true
	}
	return g.board.Members.Load().Rank("store") < storeReaderCount
}

// maxReplicaAge returns the age of the replica above which every instance reads the store
// itself, so that changes are in force in time although all that read it were lost at the
// moment of its last confirmation.
func (g *Gateway) maxReplicaAge() time.Duration {
	bound := time.Duration(g.options.Load().Apply)
	if drain := time.Duration(g.options.Load().Drain); drain > 0 {
		bound = min(bound, drain)
	}
	return max(bound-replicaReserve, bound/2)
}
