package scatter

import (
	"errors"
	"slices"
	"time"
)

const (
	// leastDelegated is the number of parts from which on a peer saves more than
	// it costs.
	leastDelegated = 3
	// helpSlack is how much longer than a call of its own the asker waits for
	// news from a peer.
	helpSlack = 12 * time.Millisecond
)

// ErrAbandoned ends the work at a peer whose asker's caller has left.
var ErrAbandoned = errors.New("caller has left")

// group are parts that a peer has merged.
type group struct {
	proofs  []string
	records []byte
}

// news is what a peer told, or the end of what it tells.
type news struct {
	partial Partial
	ended   bool
}

// delegate hands the parts that have no server in this data centre to a peer
// that is near one. Their records cross once, merged.
func (r *run) delegate(now time.Time) {
	route := r.task.Route
	if len(route.Shards) < leastDelegated || route.MaxAttempts < 2 || !r.policy.Hedge {
		return
	}
	far := make(map[int][]string)
	counts := make(map[string]int)
	for i := range r.parts {
		if dataCentres := r.parts[i].service.Far(now); len(dataCentres) > 0 {
			far[i] = dataCentres
			for _, d := range dataCentres {
				counts[d]++
			}
		}
	}
	if len(far) < leastDelegated {
		return
	}
	peer, dataCentre, ok := r.engine.Helper(counts)
	if !ok || counts[dataCentre] < leastDelegated {
		return
	}
	g := Gather{
		Request: r.task.Request, Route: route.Name, Rank: route.Rank, Results: route.Results,
		HedgeAfter: r.task.State.HedgeDelay(), TimeLeft: r.end.Sub(now),
	}
	for i := range r.parts {
		if slices.Contains(far[i], dataCentre) {
			r.delegated = append(r.delegated, i)
			g.Services = append(g.Services, r.parts[i].service.Name)
		}
	}
	r.news = make(chan news, 2*len(r.delegated)+2)
	cancel, err := r.engine.Ask(peer, g, func(p Partial) { r.tell(news{partial: p}) }, func(error) { r.tell(news{ended: true}) })
	if err != nil {
		r.delegated = nil
		return
	}
	r.cancelPeer = cancel
	for _, i := range r.delegated {
		p := &r.parts[i]
		p.helped, p.started, p.attempts = true, 1, 1
		p.next = now.Add(g.HedgeAfter + helpSlack)
	}
	r.stats.Delegated = len(r.delegated)
}

// tell hands over what a peer told. A peer that tells more than there is to
// tell is not heard.
func (r *run) tell(n news) {
	select {
	case r.news <- n:
	default:
	}
}

// hear takes in what a peer told.
func (r *run) hear(n news, now time.Time) {
	if n.ended {
		r.cancelPeer = nil
		for _, i := range r.delegated {
			r.unhelped(i, "", now)
		}
		return
	}
	if !r.valid(n.partial) {
		return
	}
	r.stats.Lost += n.partial.Lost
	g := &group{proofs: n.partial.Proofs, records: n.partial.Records}
	fresh := 0
	for _, k := range n.partial.Done {
		if !r.parts[r.delegated[k]].closed {
			fresh++
		}
	}
	for _, k := range n.partial.Done {
		p := &r.parts[r.delegated[k]]
		p.helped = false
		if fresh == 0 {
			continue
		}
		// What was merged cannot be taken apart, so it goes before a reply that
		// came directly.
		p.reply, p.group = nil, g
		if !p.closed {
			r.have++
			r.close(p)
		}
	}
	for j, k := range n.partial.Failed {
		r.unhelped(r.delegated[k], n.partial.FailedServers[j], now)
	}
	for j, k := range n.partial.Late {
		i := r.delegated[k]
		r.parts[i].avoid(n.partial.LateServers[j])
		r.parts[i].next = time.Time{}
		r.start(i, now)
	}
}

// valid tells whether what a peer told fits what it was asked.
func (r *run) valid(p Partial) bool {
	if len(p.Done) != len(p.Proofs) || len(p.Late) != len(p.LateServers) || len(p.Failed) != len(p.FailedServers) {
		return false
	}
	seen := make(map[int]bool)
	for _, list := range [][]int{p.Done, p.Late, p.Failed} {
		for _, k := range list {
			if k < 0 || k >= len(r.delegated) || seen[k] || r.parts[r.delegated[k]].group != nil {
				return false
			}
			seen[k] = true
		}
	}
	return true
}

// unhelped goes on with a part that a peer does not bring.
func (r *run) unhelped(i int, server string, now time.Time) {
	p := &r.parts[i]
	if !p.helped {
		return
	}
	p.helped = false
	p.avoid(server)
	if !p.closed && len(p.calls) == 0 {
		p.next = time.Time{}
		r.start(i, now)
	}
}

// avoid notes that a server was tried.
func (p *part) avoid(id string) {
	for _, s := range p.service.Servers() {
		if s.ID == id {
			p.tried = append(p.tried, s)
		}
	}
}
