package holder

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Plan says which instances hold the connections of which services. It is immutable.
type Plan struct {
	self     Member
	groups   []group
	searches map[string][]Part
	services map[string]*servicePlan
	// directRank is the position of this instance among those of its data centre, and
	// directCount their number.
	directRank, directCount int
	// HolderCount is the number of different holders in all groups.
	HolderCount int
	// largeCount is the number of those that are large in any group.
	largeCount       int
	maxGroupServices int
}

// group is a set of services with common holders.
type group struct {
	services map[string]bool
	// holderCount is the number of holders in each data centre.
	holderCount int
	// holders are the holders in each data centre, in order of their rank.
	holders map[string][]Member
	// held is set if this instance is one of them, and ahead if it is one of the large ones,
	// which are asked first: only these open connections ahead.
	held, ahead bool
}

type servicePlan struct {
	Service
	groups   []int
	division Division
}

// Build makes a plan. It returns nil if holders are not needed for any search.
func Build(in Input) *Plan {
	p := &Plan{searches: make(map[string][]Part), services: make(map[string]*servicePlan)}
	dataCentres := make(map[string][]Member)
	for _, m := range in.Members {
		dataCentres[m.DataCentre] = append(dataCentres[m.DataCentre], m)
		if m.Name == in.Self {
			p.self = m
		}
	}
	largest := 0
	for d, n := range in.DataCentreSizes {
		largest = max(largest, n, len(dataCentres[d]))
	}
	for _, members := range dataCentres {
		largest = max(largest, len(members))
	}
	count := max(len(in.DataCentreSizes), len(dataCentres))
	p.maxGroupServices = maxGroupServers / max(1, count)
	p.packSearches(in)
	p.divide(in, count, largest)
	if len(p.searches) == 0 {
		return nil
	}
	holders, large := make(map[string]bool), make(map[string]bool)
	for i := range p.groups {
		p.chooseHolders(i, dataCentres, in, holders, large)
	}
	p.HolderCount, p.largeCount = len(holders), len(large)
	p.rankDirect(dataCentres[p.self.DataCentre], in, holders)
	return p
}

// packSearches packs the searches into groups. A search belongs to one group, so that one
// holder runs it. Those over more services than a group may have are split up along the
// names of their services, in the same way for all.
func (p *Plan) packSearches(in Input) {
	searches := slices.Clone(in.Searches)
	slices.SortFunc(searches, func(a, b Search) int {
		return cmp.Or(cmp.Compare(len(b.Services), len(a.Services)), cmp.Compare(a.Key, b.Key))
	})
	var large []Search
	for _, s := range searches {
		_, known := p.searches[s.Key]
		switch {
		case known || !isScarce(s, in):
		case len(s.Services) > p.maxGroupServices:
			large = append(large, s)
		default:
			part := Part{Group: p.pack(s.Services, in)}
			for i := range s.Services {
				part.Services = append(part.Services, i)
			}
			p.searches[s.Key] = []Part{part}
		}
	}
	p.splitSearches(large, in)
}

// splitSearches splits up searches over more services than a group may have.
func (p *Plan) splitSearches(searches []Search, in Input) {
	all := make(map[string]bool)
	for _, s := range searches {
		for _, name := range s.Services {
			all[name] = true
		}
	}
	groupOf := make(map[string]int, len(all))
	for names := range slices.Chunk(slices.Sorted(maps.Keys(all)), p.maxGroupServices) {
		group := p.pack(names, in)
		for _, name := range names {
			groupOf[name] = group
		}
	}
	for _, s := range searches {
		parts := make(map[int]*Part)
		for i, name := range s.Services {
			group := groupOf[name]
			if parts[group] == nil {
				parts[group] = &Part{Group: group}
			}
			parts[group].Services = append(parts[group].Services, i)
		}
		for _, group := range slices.Sorted(maps.Keys(parts)) {
			p.searches[s.Key] = append(p.searches[s.Key], *parts[group])
		}
	}
}

// isScarce reports whether the search calls a service with fewer connections than
// instances.
func isScarce(s Search, in Input) bool {
	for _, name := range s.Services {
		if IsNeeded(in.Services[name].MaxConnections, in.Size) {
			return true
		}
	}
	return false
}

// pack adds services to the group that has most of them already and room for the others,
// and returns its index. It makes a new group if there is none.
func (p *Plan) pack(names []string, in Input) int {
	best, bestCommon := -1, -1
	for i, g := range p.groups {
		common, added := 0, 0
		for _, name := range names {
			if g.services[name] {
				common++
			} else {
				added++
			}
		}
		if len(g.services)+added <= p.maxGroupServices && common > bestCommon {
			best, bestCommon = i, common
		}
	}
	if best < 0 {
		best = len(p.groups)
		p.groups = append(p.groups, group{services: make(map[string]bool), holders: make(map[string][]Member)})
	}
	g := &p.groups[best]
	for _, name := range names {
		if !g.services[name] {
			g.services[name] = true
			if p.services[name] == nil {
				p.services[name] = &servicePlan{Service: in.Services[name]}
			}
			p.services[name].groups = append(p.services[name].groups, best)
		}
	}
	return best
}

// divide divides the connections of each service, and drops the searches for which there
// are too few.
func (p *Plan) divide(in Input, dataCentres, largest int) {
	for name, s := range p.services {
		if !IsNeeded(s.MaxConnections, in.Size) {
			delete(p.services, name)
			continue
		}
		s.division = Divide(s.MaxConnections, dataCentres, largest, len(s.groups))
	}
	for i := range p.groups {
		g := &p.groups[i]
		// A group has as many holders as the service with the fewest allows.
		g.holderCount = MaxHolders
		for name := range g.services {
			if s := p.services[name]; s != nil {
				g.holderCount = min(g.holderCount, s.division.Holders)
			}
		}
	}
	for _, s := range p.services {
		if !slices.ContainsFunc(s.groups, func(g int) bool { return p.groups[g].holderCount > 0 }) {
			s.division = Division{}
		}
	}
	for key, parts := range p.searches {
		if slices.ContainsFunc(parts, func(part Part) bool { return p.groups[part.Group].holderCount == 0 }) {
			delete(p.searches, key)
		}
	}
}

func (p *Plan) chooseHolders(i int, dataCentres map[string][]Member, in Input, holders, large map[string]bool) {
	n := p.groups[i].holderCount
	for d, members := range dataCentres {
		ranked := Rank(members, "group "+strconv.Itoa(i))
		ranked = ranked[:min(n, len(ranked))]
		p.groups[i].holders[d] = ranked
		average := averageShare(ranked)
		for _, m := range ranked {
			holders[m.Name] = true
			isLarge := isLarge(m, ranked, average)
			if isLarge {
				large[m.Name] = true
			}
			if m.Name == in.Self && !in.Minority {
				p.groups[i].held, p.groups[i].ahead = true, p.groups[i].ahead || isLarge
			}
		}
	}
}

// rankDirect finds the position of this instance among those of its data centre that may
// be chosen for direct calls.
func (p *Plan) rankDirect(members []Member, in Input, holders map[string]bool) {
	rank, count := 0, 0
	own := xxhash.Sum64String("direct " + in.Self)
	for _, m := range members {
		if m.Name != in.Self && holders[m.Name] {
			continue
		}
		count++
		if m.Name != in.Self && xxhash.Sum64String("direct "+m.Name) < own {
			rank++
		}
	}
	p.directCount = max(count, in.DataCentreSizes[p.self.DataCentre]-(len(members)-count))
	p.directRank = rank
	if p.directCount > count && count > 0 {
		// Of the instances that are not known each has a place as well.
		p.directRank = int(hashUnit("direct "+in.Self) * float64(p.directCount))
	}
}

// Parts returns the parts of a search that holders run; nil if it is not handed over.
func (p *Plan) Parts(searchKey string) []Part {
	if p == nil {
		return nil
	}
	return p.searches[searchKey]
}

// RunsOwn reports whether this instance runs the searches of a group itself that callers
// send to it: as one of the large holders. Small ones hand them over as others do.
func (p *Plan) RunsOwn(group int) bool { return p.groups[group].ahead }

// HoldsAny reports whether this instance is a holder of any group.
func (p *Plan) HoldsAny() bool {
	return p != nil && slices.ContainsFunc(p.groups, func(g group) bool { return g.held })
}

// Groups returns the number of groups.
func (p *Plan) Groups() int {
	if p == nil {
		return 0
	}
	return len(p.groups)
}

// Holders returns the holders of a group in a data centre.
func (p *Plan) Holders(group int, dataCentre string) []Member {
	return p.groups[group].holders[dataCentre]
}

// HoldersElsewhere returns the holders of a group in other data centres.
func (p *Plan) HoldersElsewhere(group int, dataCentre string) []Member {
	var list []Member
	for _, d := range slices.Sorted(maps.Keys(p.groups[group].holders)) {
		if d != dataCentre {
			list = append(list, p.groups[group].holders[d]...)
		}
	}
	return list
}

// AllHolders returns the holders of all groups, sorted by name.
func (p *Plan) AllHolders() []Member {
	if p == nil {
		return nil
	}
	byName := make(map[string]Member)
	for _, g := range p.groups {
		for _, members := range g.holders {
			for _, m := range members {
				byName[m.Name] = m
			}
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}
