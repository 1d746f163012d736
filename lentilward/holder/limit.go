package holder

import "slices"

// Limit returns how many connections this instance may have to a server of a service in
// a data centre. ahead is set if it is to open them ahead of calls. ok is false if the plan
// does not limit the service.
func (p *Plan) Limit(service, dataCentre string) (limit int, ahead, ok bool) {
	if p == nil {
		return 0, false, false
	}
	s := p.services[service]
	if s == nil || s.division.Holders == 0 {
		return 0, false, false
	}
	for _, g := range s.groups {
		if p.groups[g].held {
			limit += s.division.PerHolder
			ahead = ahead || p.groups[g].ahead
		}
	}
	switch {
	case limit > 0:
		return limit, ahead, true
	case s.Direct:
		return 1, false, true
	case p.mayCallDirectly(service, dataCentre, s):
		return 1, false, true
	}
	return 0, false, true
}

// mayCallDirectly reports whether this instance is among those that may have a
// connection to a server without being a holder: as many as the division allows, of
// those in the data centre of the server. The window of them starts elsewhere for each
// service, so that every instance can call some.
func (p *Plan) mayCallDirectly(service, dataCentre string, s *servicePlan) bool {
	if dataCentre != p.self.DataCentre {
		return false
	}
	if p.directCount <= s.division.Direct {
		return true
	}
	start := int(hashUnit("window "+service) * float64(p.directCount))
	return (p.directRank-start+2*p.directCount)%p.directCount < s.division.Direct
}

// SlackShare returns the share of the slack of retry budgets that this instance may use
// for searches: most of it belongs to the large holders, who make the calls.
func (p *Plan) SlackShare(size int) float64 {
	share, count := directSlackShare, size
	switch {
	case slices.ContainsFunc(p.groups, func(g group) bool { return g.ahead }):
		share, count = largeSlackShare, p.largeCount
	case p.HoldsAny():
		share, count = smallSlackShare, p.HolderCount
	}
	return p.DirectUseShare() * share / float64(max(1, count))
}

// FallbackShare returns the share of the slack of retry budgets that this instance may use
// to ask further holders, or to call directly, in place of holders that are late.
func (p *Plan) FallbackShare(size int) float64 {
	return p.DirectUseShare() * fallbackSlackShare / float64(max(1, size))
}

// DirectUseShare returns the share of this instance's slack of retry budgets for requests
// that are not handed over: half where some of these call the services of searches.
func (p *Plan) DirectUseShare() float64 {
	if p.hasDirectUse() {
		return 0.5
	}
	return 1
}

func (p *Plan) hasDirectUse() bool {
	if p == nil {
		return false
	}
	for _, s := range p.services {
		if s.Direct {
			return true
		}
	}
	return false
}

// SearchCount returns the number of sets of services that are handed over.
func (p *Plan) SearchCount() int { return len(p.searches) }

// Shares of the slack of the retry budget of a service, in sum 1.
const (
	largeSlackShare    = 0.4
	smallSlackShare    = 0.1
	fallbackSlackShare = 0.4
	directSlackShare   = 0.1
)
