package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lentilward.org/lentilstand/site"
)

const (
	// maxInFlight bounds the requests of a run that are in flight.
	maxInFlight = 20000
	// resendShare is the share of non-idempotent requests that are sent a
	// second time through another instance.
	resendShare = 0.2
	// numbers is the range of the numbers in queries.
	numbers = 100000
)

// Generator makes the requests of a run. Arrivals do not wait for answers.
type Generator struct {
	sender *Sender
	groups map[string]site.Group
	prefix string

	mu      sync.Mutex
	records []*Record
	open    sync.WaitGroup
	slots   chan struct{}
}

// NewGenerator returns a generator whose request ids start with prefix.
func NewGenerator(sender *Sender, s *site.Site, prefix string) *Generator {
	g := &Generator{sender: sender, groups: make(map[string]site.Group), prefix: prefix, slots: make(chan struct{}, maxInFlight)}
	for _, group := range s.Groups {
		g.groups[group.Name] = group
	}
	return g
}

// Run makes the requests of one load until the context ends. Factor multiplies
// the rate at a time.
func (g *Generator) Run(ctx context.Context, l site.Load, seed uint64, factor func() (rate float64, warmUp bool)) {
	draw := rand.New(rand.NewPCG(seed, uint64(len(l.Caller))<<8|uint64(l.Caller[0])))
	names := g.groups[l.Group].ServiceNames()
	next := time.Now()
	for n := 0; ; n++ {
		f, warmUp := factor()
		if f <= 0 {
			return
		}
		next = next.Add(time.Duration(draw.ExpFloat64() / (l.Rate * f) * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		r := &Record{
			ID: fmt.Sprintf("%s-%s-%d", g.prefix, l.Caller, n), Caller: l.Caller, Class: l.Class,
			Services: choose(draw, names, l), Query: fill(draw, l.Query), Execute: l.Execute,
			All: l.LeastCoverage == 0 || l.LeastCoverage == 1, Deadline: time.Duration(l.Deadline), WarmUp: warmUp,
		}
		g.launch(ctx, r, l.Execute && draw.Float64() < resendShare)
	}
}

// launch sends a request in the background.
func (g *Generator) launch(ctx context.Context, r *Record, resend bool) {
	select {
	case g.slots <- struct{}{}:
	default:
		r.Begin, r.End, r.Message = time.Now(), Cut, "load tool has too many requests in flight"
		g.Add(r)
		return
	}
	g.open.Go(func() {
		defer func() { <-g.slots }()
		ctx := context.WithoutCancel(ctx)
		g.sender.Send(ctx, r)
		g.Add(r)
		if resend {
			again := *r
			again.Resent = true
			g.sender.SendTo(ctx, r.Instance+1, &again)
			g.Add(&again)
		}
	})
}

// Add keeps a record.
func (g *Generator) Add(r *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, r)
}

// Progress returns the number of requests that ended.
func (g *Generator) Progress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.records)
}

// Wait returns all records once the last request has ended.
func (g *Generator) Wait() []*Record {
	g.open.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records
}

// choose returns the services that one request asks.
func choose(draw *rand.Rand, names []string, l site.Load) []string {
	if l.Execute {
		return []string{names[draw.IntN(len(names))]}
	}
	if l.Pick == 0 || l.Pick >= len(names) {
		return names
	}
	var chosen []string
	for _, i := range draw.Perm(len(names))[:l.Pick] {
		chosen = append(chosen, names[i])
	}
	return chosen
}

func fill(draw *rand.Rand, query string) string {
	for strings.Contains(query, "{n}") {
		query = strings.Replace(query, "{n}", fmt.Sprint(draw.IntN(numbers)), 1)
	}
	return query
}
