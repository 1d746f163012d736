package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"lentilward.org/lentilward/admission"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/web"
	"lentilward.org/schema/domain"
)

// maxExplainedServices bounds the services of a search that are shown one by one.
const maxExplainedServices = 10

// explanation shows where a request would go now at one instance, and why.
type explanation struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data-centre"`
	Version    uint64 `json:"configuration-version,omitempty"`
	Route      string `json:"route,omitempty"`
	Tenant     string `json:"tenant,omitempty"`
	// Refused is the reason for which the request would be refused; empty if it would run.
	Refused  string `json:"refused,omitempty"`
	Message  string `json:"message,omitempty"`
	Priority int    `json:"priority"`
	Search   bool   `json:"search"`
	Shards   int    `json:"shards,omitempty"`
	// SearchesPerSecond is the limit of searches in force; 0 without one.
	SearchesPerSecond float64 `json:"searches-per-second,omitempty"`
	// Groups has the groups of shards that holders run; the others run here.
	Groups   []explainedGroup   `json:"held-groups,omitempty"`
	Services []explainedService `json:"services,omitempty"`
	// More counts the services that are not shown.
	More int `json:"more-services,omitempty"`
}

// explainedGroup is a group of shards whose part of a search runs at one of its holders.
type explainedGroup struct {
	Shards  int               `json:"shards"`
	Holders []explainedHolder `json:"holders"`
}

type explainedHolder struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	State      string `json:"state"`
	Connected  bool   `json:"connected"`
}

// explainedService has the servers of a service as this instance would choose them.
type explainedService struct {
	Name string `json:"name"`
	// Held is set if a holder calls the servers, by its own measurements.
	Held    bool                 `json:"held,omitempty"`
	Servers []balance.ServerView `json:"servers"`
}

// serveExplanations answers /explain and passes other requests on.
func (g *Gateway) serveExplanations(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("host") == "" || q.Get("path") == "" {
			http.Error(w, "host and path are required", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.explain(q.Get("host"), q.Get("path"), q.Get("tenant"), time.Now())); err != nil {
			g.log.Debug("answering with an explanation failed", "error", err)
		}
	})
	return mux
}

// explain decides as web.Server and scatter.Engine do, and changes nothing. Allowances,
// bodies and the time that a caller gives are not considered.
func (g *Gateway) explain(host, path, tenantName string, now time.Time) explanation {
	e := explanation{Instance: g.options.Load().Name, DataCentre: g.options.Load().DataCentre, Tenant: tenantName}
	snapshot := g.directory.Current.Load()
	if snapshot == nil {
		e.refuse(domain.NoConfiguration, "instance has no configuration yet")
		return e
	}
	c := snapshot.Configuration
	e.Version = c.Version
	route := web.MatchRoute(c, host, path)
	if route == nil {
		e.refuseByConfiguration(g, domain.NoRoute, fmt.Sprintf("no route for host %q and path %q", host, path))
		return e
	}
	var tenant *domain.Tenant
	if c.RequiresKey(route) {
		tenant = c.Tenants[tenantName]
		switch {
		case !g.fence.WouldAdmit():
			e.refuse(domain.Unverified, "the store has not confirmed for too long that the key is still valid")
		case tenant == nil && tenantName == "":
			e.refuseByConfiguration(g, domain.Unauthorized, "the route requires a key")
		case tenant == nil:
			e.refuseByConfiguration(g, domain.Unauthorized, fmt.Sprintf("the configuration has no tenant %q", tenantName))
		}
	}
	e.Route, e.Priority, e.Search, e.Shards = route.Name, domain.RequestPriority(route, tenant), len(route.Shards) > 0, len(route.Shards)
	names, minReachable := route.Shards, route.MinShards()
	if !e.Search {
		if len(route.TrafficSplit) == 0 {
			e.refuse(domain.NoServer, "the route has no service in its traffic split")
			return e
		}
		names, minReachable = []string{snapshot.Routes[route.Name].Next(route.TrafficSplit)}, 1
	}
	held := g.explainHolders(&e, route)
	reachable := 0
	for i, name := range names {
		service := snapshot.Services[name]
		views, ok := service.Explain(now)
		if at, resumes := service.ResumesAt(); ok || resumes && at.Before(now.Add(route.Timeout)) {
			reachable++
		}
		if i < maxExplainedServices {
			e.Services = append(e.Services, explainedService{name, held[i], append(views, viewOutOfService(snapshot.OutOfService[name])...)})
		}
	}
	e.More = len(names) - len(e.Services)
	if reachable < minReachable {
		e.refuse(domain.NoServer, fmt.Sprintf("%d of %d services have a reachable backend server, need %d", reachable, len(names), minReachable))
	}
	// The holders decide whether there is room for the searches that they run.
	if len(e.Groups) == 0 {
		g.explainLimit(&e, snapshot.Admissions[route.Name], tenant, now)
	}
	return e
}

// refuse records a refusal unless there is one already.
func (e *explanation) refuse(reason domain.Reason, message string) {
	if e.Refused == "" {
		e.Refused, e.Message = reason.String(), message
	}
}

// refuseByConfiguration records a refusal that is a claim about the newest configuration.
func (e *explanation) refuseByConfiguration(g *Gateway, reason domain.Reason, message string) {
	if !g.callers.IsConfigurationCurrent() {
		reason, message = domain.NoConfiguration, message+", but the configuration may be out of date"
	}
	e.refuse(reason, message)
}

// explainLimit adds the limit of searches, and the refusal if it permits none now.
func (g *Gateway) explainLimit(e *explanation, limit *admission.Limit, tenant *domain.Tenant, now time.Time) {
	if limit == nil {
		return
	}
	sender := admission.Tenant{}
	if tenant != nil {
		sender = admission.Tenant{Name: tenant.Name, Use: g.allowances.local.Use(tenant.Name)}
	}
	perSecond, ok := limit.WouldAdmit(sender, e.Route, e.Priority, now)
	if !math.IsInf(perSecond, 1) {
		e.SearchesPerSecond = perSecond
	}
	if !ok {
		e.refuse(domain.Overloaded, "the limit of searches permits none now")
	}
}

// explainHolders adds the groups of shards that holders run, and returns which shards
// these are. One holder of a group is chosen at random by weight, of those in this
// instance's data centre if they have spare capacity.
func (g *Gateway) explainHolders(e *explanation, route *domain.Route) map[int]bool {
	plan, held := g.holders.plan.Load(), make(map[int]bool)
	if plan == nil || !isHandedOver(route) {
		return held
	}
	members := g.board.Members.Load()
	for _, part := range plan.Parts(searchKey(route)) {
		if plan.RunsOwn(part.Group) {
			continue
		}
		group := explainedGroup{Shards: len(part.Services)}
		for _, i := range part.Services {
			held[i] = true
		}
		for _, m := range slices.Concat(plan.Holders(part.Group, e.DataCentre), plan.HoldersElsewhere(part.Group, e.DataCentre)) {
			if m.Name == members.Self {
				continue
			}
			// Remembered holders that are no members yet count as alive.
			member, _ := members.Find(m.Name)
			group.Holders = append(group.Holders, explainedHolder{
				m.Name, m.Address.String(), m.DataCentre, memberStates[member.State], g.links.CanGather(m.Address),
			})
		}
		e.Groups = append(e.Groups, group)
	}
	return held
}

var memberStates = map[blackboard.MemberState]string{
	blackboard.Alive: "alive", blackboard.Suspected: "suspected", blackboard.Leaving: "leaving", blackboard.Dead: "dead",
}

// viewOutOfService returns the views of servers that are draining or in a data centre that
// is withdrawn.
func viewOutOfService(servers []directory.OutOfService) []balance.ServerView {
	views := make([]balance.ServerView, 0, len(servers))
	for _, s := range servers {
		v := s.Server.ViewOutOfService()
		if s.Draining {
			v.States = append(v.States, "draining")
		}
		if s.Withdrawn {
			v.States = append(v.States, "withdrawn")
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b balance.ServerView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
