package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/holder"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// holders hands searches to the instances that hold connections to the servers of their
// shards, where instances outnumber the connections that a server accepts.
type holders struct {
	board      *blackboard.Board
	fleet      *fleetSize
	log        *slog.Logger
	dataCentre string
	chooser    *holder.Chooser
	plan       atomic.Pointer[holder.Plan]
	// retryBudget returns the retry budget of each service.
	retryBudget func() *balance.RetryBudget
	// isConnected reports whether a peer can be asked at once, and connect opens a
	// connection to it in the background.
	isConnected func(netip.AddrPort) bool
	connect     func(netip.AddrPort)
	// seesLimits reports whether servers name limits, to this instance or others.
	seesLimits func() bool
	// peerCount returns the number of instances that are expected after the start.
	peerCount func() int
	// writeRecord writes the record of the fleet if the present one has the revision, or
	// deletes it if record is nil.
	writeRecord func(ctx context.Context, revision uint64, record *fleetRecord) error

	// signature identifies the input of the present plan.
	signature uint64
	mu        sync.Mutex
	// fallbacks has the budgets of second holders and direct calls, by the key of the search.
	fallbacks map[string]*fallbackBudget

	handed, second, direct, unaided, run atomic.Int64
}

// connectHolders connects the component that hands searches to holders.
func (g *Gateway) connectHolders(store *platform.Store) {
	h := &holders{
		board: g.board, fleet: g.fleet, log: g.log, dataCentre: g.options.Load().DataCentre, chooser: holder.NewChooser(),
		isConnected: g.links.CanGather, connect: g.connectPeer, seesLimits: g.table.SeesLimits, fallbacks: make(map[string]*fallbackBudget),
		retryBudget: func() *balance.RetryBudget {
			o := g.options.Load()
			return &balance.RetryBudget{Ratio: o.RetryBudget.Ratio, Slack: o.RetryBudget.Slack, Window: time.Duration(o.RetryBudget.Window)}
		},
		peerCount: func() int { return max(len(g.options.Load().Peers), len(g.directory.PeerAddresses())) },
		writeRecord: func(ctx context.Context, revision uint64, record *fleetRecord) error {
			return storeFleetRecord(ctx, store, revision, record)
		},
	}
	g.holders = h
	g.Paced = func() bool { return h.holderCount() > 0 }
	g.directory.OnState, g.directory.ConnectionLimit = h.update, h.connectionLimit
	g.engine.PlanHandover = h.planHandover
	g.engine.HolderShare, g.engine.BudgetShare = h.slackShare, h.directShare
	g.registerHolderMetrics()
}

// update makes a new plan if the configuration or the members have changed.
func (h *holders) update(snapshot *directory.Snapshot) {
	in := holder.Input{Size: h.fleet.size(), Services: make(map[string]holder.Service)}
	in.Searches = h.findSearches(snapshot, in.Services, in.Size)
	if len(in.Searches) > 0 {
		h.addMembers(&in)
	}
	if signature := h.sign(&in, snapshot); signature != h.signature {
		h.signature = signature
		plan := holder.Build(in)
		old := h.plan.Swap(plan)
		h.forget(plan)
		if !slices.Equal(old.AllHolders(), plan.AllHolders()) || old.HoldsAny() != plan.HoldsAny() {
			h.log.Info("holders of connections changed", "needed", plan != nil, "instances", in.Size, "members", len(in.Members),
				"groups", plan.Groups(), "holders", len(plan.AllHolders()), "held-here", plan.HoldsAny(), "minority", in.Minority)
		}
	}
	h.connectHolders()
}

// forget drops what is known of former holders and of searches that are not handed over
// any more.
func (h *holders) forget(plan *holder.Plan) {
	addresses := make(map[netip.AddrPort]bool)
	for _, m := range plan.AllHolders() {
		addresses[m.Address] = true
	}
	h.chooser.Keep(func(a netip.AddrPort) bool { return addresses[a] })
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.fallbacks, func(key string, _ *fallbackBudget) bool { return plan.Parts(key) == nil })
}

// minHandedShards is the number of shards from which a search is handed to a holder.
const minHandedShards = 3

// findSearches returns the searches that holders may run. It adds their services.
func (h *holders) findSearches(snapshot *directory.Snapshot, services map[string]holder.Service, size int) []holder.Search {
	var searches []holder.Search
	direct := make(map[string]bool)
	for _, routes := range snapshot.Configuration.Routes {
		for _, route := range routes {
			for _, part := range route.TrafficSplit {
				direct[part.Service] = true
			}
			if !isHandedOver(route) {
				for _, shard := range route.Shards {
					direct[shard] = true
				}
				continue
			}
			searches = append(searches, holder.Search{Key: searchKey(route), Services: route.Shards})
		}
	}
	for _, s := range searches {
		for _, name := range s.Services {
			services[name] = holder.Service{MaxConnections: snapshot.MaxConnections(name), Direct: direct[name]}
		}
	}
	for name, service := range services {
		// A service without a limit in the configuration does not call for holders.
		if c := snapshot.Configuration.Services[name]; c != nil && c.MaxConnections > 0 && holder.IsNeeded(service.MaxConnections, size) {
			return searches
		}
	}
	return nil
}

// isHandedOver reports whether requests of a route may be handed to a holder. Requests
// that may run only once never are.
func isHandedOver(route *domain.Route) bool {
	return route.Idempotent && len(route.Shards) >= minHandedShards
}

// searchKey identifies a set of services.
func searchKey(route *domain.Route) string { return strings.Join(route.Shards, " ") }

// addMembers adds the members that may be holders, and the sizes of the data centres.
func (h *holders) addMembers(in *holder.Input) {
	members := h.board.Members.Load()
	in.Self, in.DataCentreSizes = members.Self, make(map[string]int)
	known := make(map[string]bool)
	for _, m := range members.List {
		in.DataCentreSizes[m.DataCentre]++
		if m.State <= blackboard.Suspected || m.Name == members.Self && m.State != blackboard.Leaving {
			known[m.Name] = true
			in.Members = append(in.Members, holder.Member{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, CPUShare: m.CPUShare})
		}
	}
	if record := h.fleet.missing(); record != nil {
		for d, n := range record.DataCentres {
			in.DataCentreSizes[d] = max(in.DataCentreSizes[d], n)
		}
	}
	record := h.fleet.remembered()
	if record == nil {
		in.Minority = float64(len(in.Members)) < fleetMajorityShare*float64(in.Size)
		return
	}
	for _, m := range record.Holders {
		if member, found := members.Find(m.Name); !known[m.Name] && (!found || member.State <= blackboard.Suspected) {
			in.Members = append(in.Members, m)
		}
	}
}

// sign returns a hash of what a plan depends on.
func (h *holders) sign(in *holder.Input, snapshot *directory.Snapshot) uint64 {
	if len(in.Searches) == 0 {
		return 0
	}
	value := *in
	value.Searches = nil
	data, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data) ^ snapshot.Configuration.Version ^ 1
}

// connectHolders opens connections to the holders that are not connected.
func (h *holders) connectHolders() {
	self := h.board.Members.Load().Self
	for _, m := range h.plan.Load().AllHolders() {
		if m.Name != self && !h.isConnected(m.Address) {
			h.connect(m.Address)
		}
	}
}

// connectionLimit returns the limit of connections to a server.
func (h *holders) connectionLimit(service, dataCentre string, maxConnections int) (limit int, ahead, ok bool) {
	if limit, ahead, ok := h.plan.Load().Limit(service, dataCentre); ok {
		return limit, ahead, true
	}
	// An instance that has just started where many others may start as well opens few
	// connections until it knows how many there are.
	if time.Since(h.fleet.started) < discoveryPeriod && h.fleet.record.Load() == nil && h.fleet.known() == 1 &&
		holder.UsableShare*float64(maxConnections) < minStartConnections*float64(h.peerCount()+1) {
		return 1, true, true
	}
	return 0, false, false
}

// directShare returns this instance's share of the slack of the retry budget for requests
// that are not handed over.
func (h *holders) directShare() float64 { return h.fleet.share() * h.plan.Load().DirectUseShare() }

// slackShare returns this instance's share of the slack of the retry budget for the
// searches that it runs.
func (h *holders) slackShare() float64 {
	plan, share := h.plan.Load(), h.fleet.share()
	if plan == nil || share == 0 {
		return share
	}
	return plan.SlackShare(h.fleet.size())
}

// planHandover returns how a search is handed to holders; nil if none are needed for it.
func (h *holders) planHandover(t *scatter.Task) *scatter.Handover {
	plan := h.plan.Load()
	if plan == nil || !isHandedOver(t.Route) {
		return nil
	}
	key := searchKey(t.Route)
	parts := plan.Parts(key)
	if len(parts) == 0 {
		return nil
	}
	var groups []int
	handover := &scatter.Handover{DataCentre: h.dataCentre, SlackShare: h.slackShare, SeesLimits: h.seesLimits()}
	for _, part := range parts {
		if !plan.RunsOwn(part.Group) {
			groups = append(groups, part.Group)
			handover.Groups = append(handover.Groups, part.Services)
		}
	}
	if len(groups) == 0 {
		return handover
	}
	handover.Choose = func(group int, asked []netip.AddrPort) (netip.AddrPort, string, bool) {
		return h.choose(plan, groups[group], asked)
	}
	handover.IsConnecting = func(group int) bool { return h.isConnecting(plan, groups[group]) }
	handover.KeepCredit = sync.OnceValue(func() bool { return h.keepCredit(key) })
	handover.Spend = func(int, time.Time) bool { return h.spend(plan, key) }
	handover.Refund = func(int, time.Time) { h.fallback(key).budget.Refund(time.Now()) }
	handover.Begin = func(address netip.AddrPort) {
		h.handed.Add(1)
		h.chooser.Begin(address, time.Now())
	}
	handover.End = func(address netip.AddrPort, o scatter.HandoverOutcome) {
		h.chooser.End(address, holder.Outcome{Answered: o.Answered, Took: o.Took, Allowed: o.Allowed, Ignored: o.Undecided}, time.Now())
	}
	handover.OnLate = h.recordLate
	return handover
}

// choose chooses a holder of a group that was not asked and to which a connection is open.
// Holders that are suspected to be lost are used if there are no others.
func (h *holders) choose(plan *holder.Plan, group int, asked []netip.AddrPort) (address netip.AddrPort, dataCentre string, ok bool) {
	for _, worst := range []blackboard.MemberState{blackboard.Alive, blackboard.Suspected} {
		near := h.usable(plan.Holders(group, h.dataCentre), worst, asked)
		elsewhere := h.usable(plan.HoldersElsewhere(group, h.dataCentre), worst, asked)
		if choice, ok := h.chooser.Choose(near, elsewhere, time.Now()); ok {
			return choice.Address, choice.DataCentre, true
		}
	}
	return netip.AddrPort{}, "", false
}

// isConnecting reports whether a holder of a group is alive to which no connection is
// open: choose opens one.
func (h *holders) isConnecting(plan *holder.Plan, group int) bool {
	members := h.board.Members.Load()
	return slices.ContainsFunc(plan.Holders(group, h.dataCentre), func(m holder.Member) bool {
		member, _ := members.Find(m.Name)
		return m.Name != members.Self && member.State == blackboard.Alive && !h.isConnected(m.Address)
	})
}

// usable returns the holders that may be asked now, and connects to those that may be
// soon. Remembered ones that are no members yet count as alive.
func (h *holders) usable(list []holder.Member, worst blackboard.MemberState, asked []netip.AddrPort) []holder.Member {
	members := h.board.Members.Load()
	var usable []holder.Member
	for _, m := range list {
		member, _ := members.Find(m.Name)
		if m.Name == members.Self || member.State > worst || slices.Contains(asked, m.Address) {
			continue
		}
		if !h.isConnected(m.Address) {
			h.connect(m.Address)
			continue
		}
		usable = append(usable, m)
	}
	return usable
}

// recordLate counts and logs what was done about a holder that was late or lost.
func (h *holders) recordLate(step scatter.HandoverStep) {
	outcome := "waiting: this instance may call no server"
	switch {
	case step.Second.IsValid():
		outcome = "second holder"
		h.second.Add(1)
	case step.Direct:
		outcome = "direct calls"
		h.direct.Add(1)
	case step.BudgetSpent:
		outcome = "waiting: retry budget is spent"
		fallthrough
	default:
		h.unaided.Add(1)
	}
	h.log.Info("holder of connections is late or lost", "request-id", step.RequestID, "holder", step.Holder, "after", step.After,
		"lost", step.Lost, "outcome", outcome, "second", step.Second)
}
