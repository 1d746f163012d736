package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an undisturbed instance that does not serve a route added more than
// the bound ago, under random silence, isolation and refusals of other instances.
func TestUndisturbedInstancesServeAddedRoutes(t *testing.T) {
	for seed := range uint64(*currencyRuns) {
		synctest.Test(t, func(t *testing.T) { runCurrencyModel(t, seed) })
	}
}

var currencyRuns = flag.Int("currency-runs", 15, "random runs of TestUndisturbedInstancesServeAddedRoutes")

func runCurrencyModel(t *testing.T, seed uint64) {
	p := newMemoryPlatform(t)
	f := &currencyModel{t: t, p: p, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), disturbedUntil: make(map[int]time.Time)}
	f.publish()
	first := netip.MustParseAddrPort("10.0.0.1:8102")
	for number := 1; number <= 4; number++ {
		f.instances = append(f.instances, p.startInstance(t, number, first))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(recoveryPeriod)
	for step := range 400 {
		if step%10 == 0 {
			f.injectFault()
		}
		if f.random.IntN(8) == 0 {
			f.publish()
		}
		time.Sleep(100 * time.Millisecond)
		f.check()
	}
}

// currencyModel injects faults and knows which versions instances must serve.
type currencyModel struct {
	t         *testing.T
	p         *memoryPlatform
	seed      uint64
	random    *rand.Rand
	instances []*Gateway
	// publishedAt has the times at which the versions 1, 2, ... were acknowledged.
	publishedAt []time.Time
	// disturbedUntil has the time until which an instance was last disturbed.
	disturbedUntil map[int]time.Time
	log            []string
}

// maxModelRoutes is the number of routes in a version, more than are added within
// maxApplyDelay.
const maxModelRoutes = 31

// publish writes the next version, which adds one route and drops the oldest.
func (f *currencyModel) publish() {
	version := len(f.publishedAt) + 1
	var prefixes []string
	for v := max(1, version-maxModelRoutes+1); v <= version; v++ {
		prefixes = append(prefixes, fmt.Sprintf("/v%d/", v))
	}
	f.p.publishRoutes(f.t, version, prefixes...)
	f.publishedAt = append(f.publishedAt, time.Now())
}

func (f *currencyModel) injectFault() {
	number := 1 + f.random.IntN(len(f.instances))
	host := fmt.Sprintf("10.0.0.%d", number)
	length := time.Duration(500+f.random.IntN(5000)) * time.Millisecond
	kind := f.random.IntN(3)
	f.log = append(f.log, fmt.Sprintf("%s kind %d at %d for %v", time.Now().Format("05.000"), kind, number, length))
	switch kind {
	case 0:
		f.p.network.silenceOpenConnections()
		for i := range f.instances {
			f.disturb(i+1, 0)
		}
	case 1:
		f.p.network.isolate(host)
		f.disturb(number, length)
		time.AfterFunc(length, func() { f.p.network.rejoin(host) })
	case 2:
		// An instance that the store refuses must hear of changes from its peers; one
		// at least is not refused.
		if number > 1 {
			f.p.store.RefuseCaller(host, length)
		}
	}
}

func (f *currencyModel) disturb(number int, length time.Duration) {
	if until := time.Now().Add(length); until.After(f.disturbedUntil[number]) {
		f.disturbedUntil[number] = until
	}
}

// check sends each undisturbed instance a request for the newest route that it must
// know.
func (f *currencyModel) check() {
	due := 0
	for _, at := range f.publishedAt {
		if time.Since(at) >= maxApplyDelay {
			due++
		}
	}
	// The instance that the others depend on has to be undisturbed as well.
	if due == 0 || time.Since(f.disturbedUntil[1]) < recoveryPeriod {
		return
	}
	for i, g := range f.instances {
		if time.Since(f.disturbedUntil[i+1]) < recoveryPeriod {
			continue
		}
		if got := statusOf(g, fmt.Sprintf("/v%d/", due)); got != http.StatusOK {
			f.t.Fatalf("seed %d, %s: instance %d: status %d for the route of version %d, age %v\n%s", f.seed, time.Now().Format("05.000"), i+1, got, due, g.follower.Age(), strings.Join(f.log, "\n"))
		}
	}
}
