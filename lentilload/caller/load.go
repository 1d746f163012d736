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
	// maxInFlight is the maximum number of requests of a run in flight. Requests
	// beyond it are not sent and count as unanswered.
	maxInFlight = 20000
	// resendShare is the share of non-idempotent requests that are sent a
	// second time, with the same id, through another instance.
	resendShare = 0.2
	// queryNumberRange is the exclusive upper bound of the random numbers that
	// replace {n} in queries.
	queryNumberRange = 100000
)

// Generator sends the requests of a run as open-loop load: the next request is
// sent on schedule, whether or not earlier ones have been answered.
type Generator struct {
	sender       *Sender
	groupsByName map[string]site.Group
	idPrefix     string

	mu       sync.Mutex
	records  []*Record
	inFlight sync.WaitGroup
	slots    chan struct{}
}

// NewGenerator returns a generator whose request ids start with idPrefix.
func NewGenerator(sender *Sender, s *site.Site, idPrefix string) *Generator {
	g := &Generator{sender: sender, groupsByName: make(map[string]site.Group), idPrefix: idPrefix, slots: make(chan struct{}, maxInFlight)}
	for _, group := range s.Groups {
		g.groupsByName[group.Name] = group
	}
	return g
}

// Run sends the requests of one load until the context ends or rateFactor
// returns a factor that is not positive. Requests arrive as a Poisson process;
// its rate is that of the load multiplied by the current factor.
func (g *Generator) Run(ctx context.Context, l site.Load, seed uint64, rateFactor func() (factor float64, warmUp bool)) {
	random := rand.New(rand.NewPCG(seed, uint64(len(l.Caller))<<8|uint64(l.Caller[0])))
	serviceNames := g.groupsByName[l.Group].ServiceNames()
	next := time.Now()
	for n := 0; ; n++ {
		factor, warmUp := rateFactor()
		if factor <= 0 {
			return
		}
		next = next.Add(time.Duration(random.ExpFloat64() / (l.Rate * factor) * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		r := &Record{
			ID: fmt.Sprintf("%s-%s-%d", g.idPrefix, l.Caller, n), Caller: l.Caller, Class: l.Class,
			Services: chooseServices(random, serviceNames, l), Query: fillQuery(random, l.Query), Execute: l.Execute,
			AllShards: l.MinCoverage == 0 || l.MinCoverage == 1, Deadline: time.Duration(l.Deadline), WarmUp: warmUp,
		}
		g.sendAsync(ctx, r, l.Execute && random.Float64() < resendShare)
	}
}

// sendAsync sends a request in the background, and sends it again through the
// next instance if resend is set.
func (g *Generator) sendAsync(ctx context.Context, r *Record, resend bool) {
	select {
	case g.slots <- struct{}{}:
	default:
		r.Start, r.EndState, r.Message = time.Now(), Unanswered, "request not sent: too many requests in flight in lentilload"
		g.AddRecord(r)
		return
	}
	g.inFlight.Go(func() {
		defer func() { <-g.slots }()
		ctx := context.WithoutCancel(ctx)
		g.sender.Send(ctx, r)
		g.AddRecord(r)
		if resend {
			second := *r
			second.Resent = true
			g.sender.SendToInstance(ctx, r.Instance+1, &second)
			g.AddRecord(&second)
		}
	})
}

// AddRecord adds a request that has ended to the records of the run.
func (g *Generator) AddRecord(r *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, r)
}

// EndedCount returns the number of requests that have ended so far.
func (g *Generator) EndedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.records)
}

// Wait blocks until the last request has ended and returns all records.
func (g *Generator) Wait() []*Record {
	g.inFlight.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records
}

// chooseServices returns the services that one request queries: one for a
// non-idempotent request, else a random sample of l.ServicesPerRequest, or all.
func chooseServices(random *rand.Rand, names []string, l site.Load) []string {
	if l.Execute {
		return []string{names[random.IntN(len(names))]}
	}
	if l.ServicesPerRequest == 0 || l.ServicesPerRequest >= len(names) {
		return names
	}
	var chosen []string
	for _, i := range random.Perm(len(names))[:l.ServicesPerRequest] {
		chosen = append(chosen, names[i])
	}
	return chosen
}

func fillQuery(random *rand.Rand, query string) string {
	for strings.Contains(query, "{n}") {
		query = strings.Replace(query, "{n}", fmt.Sprint(random.IntN(queryNumberRange)), 1)
	}
	return query
}
