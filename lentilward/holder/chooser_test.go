package holder

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// fleetModel models the holders of some data centres and instances that hand searches to
// them. A holder runs one search after another at a speed given by its share of a core.
type fleetModel struct {
	random  *rand.Rand
	askers  []*modelAsker
	holders map[netip.AddrPort]*modelHolder
	groups  map[string][]Member
	now     time.Time
	served  map[netip.AddrPort]int
	late    int
	pending []modelSearch
}

type modelAsker struct {
	dataCentre string
	chooser    *Chooser
	// unreachable has the holders that this instance can't reach.
	unreachable map[netip.AddrPort]bool
}

type modelHolder struct {
	share float64
	// slowness multiplies the time of a search; silent holders never answer.
	slowness float64
	silent   bool
	freeAt   time.Time
}

type modelSearch struct {
	asker   *modelAsker
	holder  netip.AddrPort
	begunAt time.Time
	endsAt  time.Time
	silent  bool
}

const (
	// modelWork is the time on a whole core that a search takes, and modelBase the time
	// until servers have replied, modelAllowed that in which results are due.
	modelWork    = 3 * time.Millisecond
	modelBase    = 12 * time.Millisecond
	modelAllowed = 40 * time.Millisecond
)

func newFleetModel(askersPerDataCentre int, shares ...float64) *fleetModel {
	f := &fleetModel{
		random: rand.New(rand.NewPCG(7, 8)), holders: make(map[netip.AddrPort]*modelHolder), groups: make(map[string][]Member),
		now: time.Now(), served: make(map[netip.AddrPort]int),
	}
	for d := range 3 {
		dataCentre := fmt.Sprint("z", d)
		for i, share := range shares {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 80)
			f.holders[a] = &modelHolder{share: share, slowness: 1}
			f.groups[dataCentre] = append(f.groups[dataCentre], Member{Name: a.String(), Address: a, DataCentre: dataCentre, CPUShare: share})
		}
		for range askersPerDataCentre {
			c := NewChooser()
			c.random = f.random.Float64
			f.askers = append(f.askers, &modelAsker{dataCentre: dataCentre, chooser: c, unreachable: make(map[netip.AddrPort]bool)})
		}
	}
	return f
}

// run lets the askers that use chooses hand over searches at a rate in all.
func (f *fleetModel) run(period time.Duration, perSecond int, use func(*modelAsker) bool) {
	f.served, f.late = make(map[netip.AddrPort]int), 0
	var askers []*modelAsker
	for _, a := range f.askers {
		if use(a) {
			askers = append(askers, a)
		}
	}
	for end := f.now.Add(period); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		f.finish()
		a := askers[f.random.IntN(len(askers))]
		var near, far []Member
		for d, members := range f.groups {
			for _, m := range members {
				switch {
				case a.unreachable[m.Address]:
				case d == a.dataCentre:
					near = append(near, m)
				default:
					far = append(far, m)
				}
			}
		}
		choice, ok := a.chooser.Choose(near, far, f.now)
		if !ok {
			f.late++
			continue
		}
		h := f.holders[choice.Address]
		a.chooser.Begin(choice.Address, f.now)
		begin := f.now
		if h.freeAt.After(begin) {
			begin = h.freeAt
		}
		h.freeAt = begin.Add(time.Duration(float64(modelWork) / h.share))
		s := modelSearch{asker: a, holder: choice.Address, begunAt: f.now, silent: h.silent}
		s.endsAt = h.freeAt.Add(time.Duration(float64(modelBase) * h.slowness))
		if s.silent || s.endsAt.Sub(f.now) > 4*modelAllowed {
			s.endsAt = f.now.Add(4 * modelAllowed)
		}
		if s.silent {
			h.freeAt = f.now
		}
		f.pending = append(f.pending, s)
	}
}

// finish ends the searches that are due.
func (f *fleetModel) finish() {
	kept := f.pending[:0]
	for _, s := range f.pending {
		if s.endsAt.After(f.now) {
			kept = append(kept, s)
			continue
		}
		took := s.endsAt.Sub(s.begunAt)
		s.asker.chooser.End(s.holder, Outcome{Answered: !s.silent, Took: took, Allowed: modelAllowed}, s.endsAt)
		f.served[s.holder]++
		if s.silent || took > modelAllowed {
			f.late++
		}
	}
	f.pending = kept
}

func (f *fleetModel) total() (n int) {
	for _, s := range f.served {
		n += s
	}
	return n
}

func everyAsker(*modelAsker) bool { return true }

func addressOf(dataCentre, holder int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre), 0, byte(holder)}), 80)
}

// Guards against searches that are late at machines with an eighth of a core while others
// are idle. The load is that of a quiet day: 100 searches a second.
func TestSearchesGoByTheWeightOfMachines(t *testing.T) {
	f := newFleetModel(37, 0.8, 0.8, 0.134, 0.134)
	f.run(30*time.Second, 100, everyAsker)
	f.run(60*time.Second, 100, everyAsker)
	small := 0
	for d := range 3 {
		small += f.served[addressOf(d, 2)] + f.served[addressOf(d, 3)]
	}
	share, late := float64(small)/float64(f.total()), float64(f.late)/float64(f.total())
	t.Logf("small machines run %.3f of the searches, %.4f are late", share, late)
	if share > 0.15 || late > 0.06 {
		t.Fatalf("small machines run %.3f of the searches, %.3f are late", share, late)
	}
}

// Guards against a holder that is slow, throttled or silent and goes on to get its part,
// and against one that does not get it back when it is well. Each instance sees about one
// search a second.
func TestBadHolderGetsLessAndComesBack(t *testing.T) {
	for name, c := range map[string]struct {
		harm     func(h *modelHolder)
		maxShare float64
	}{
		"five times slower": {func(h *modelHolder) { h.slowness = 5 }, 0.5},
		"throttled":         {func(h *modelHolder) { h.share = 0.05 }, 0.5},
		"silent":            {func(h *modelHolder) { h.silent = true }, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetModel(37, 0.8, 0.8, 0.134, 0.134)
			bad := addressOf(0, 0)
			f.run(30*time.Second, 100, everyAsker)
			f.run(20*time.Second, 100, everyAsker)
			well := f.served[bad]
			h := f.holders[bad]
			saved := *h
			c.harm(h)
			f.run(5*time.Second, 100, everyAsker)
			f.run(20*time.Second, 100, everyAsker)
			during, late := f.served[bad], float64(f.late)/float64(f.total())
			h.share, h.slowness, h.silent, h.freeAt = saved.share, saved.slowness, saved.silent, f.now
			f.run(15*time.Second, 100, everyAsker)
			f.run(20*time.Second, 100, everyAsker)
			after := f.served[bad]
			t.Logf("%d searches in 20 s, %d while it is bad, %d after that; %.3f late while it is bad", well, during, after, late)
			if float64(during) > c.maxShare*float64(well) || float64(after) < 0.7*float64(well) || late > 0.12 {
				t.Fatalf("%d searches in 20 s, %d while it is bad, %d after that; %.3f late", well, during, after, late)
			}
		})
	}
}

// Guards against late searches while a fifth of the holders are five times slower than
// the others: one large machine in every data centre.
func TestSearchesAvoidAFifthOfTheHoldersThatIsSlow(t *testing.T) {
	f := newFleetModel(37, 0.8, 0.8, 0.8, 0.134, 0.134)
	f.run(20*time.Second, 100, everyAsker)
	for d := range 3 {
		f.holders[addressOf(d, 1)].slowness = 5
	}
	f.run(5*time.Second, 100, everyAsker)
	f.run(20*time.Second, 100, everyAsker)
	slow := 0
	for d := range 3 {
		slow += f.served[addressOf(d, 1)]
	}
	share, late := float64(slow)/float64(f.total()), float64(f.late)/float64(f.total())
	t.Logf("slow holders run %.3f, late %.3f", share, late)
	if share > 0.1 || late > 0.1 {
		t.Fatalf("slow holders run %.3f of the searches, %.3f are late", share, late)
	}
}

// Guards against holders of one data centre that can't bear the demand of all while those
// of others are idle.
func TestDemandMovedToOneDataCentreIsSpread(t *testing.T) {
	f := newFleetModel(37, 0.134, 0.134, 0.134, 0.134)
	inFirst := func(a *modelAsker) bool { return a.dataCentre == "z0" }
	f.run(10*time.Second, 60, everyAsker)
	f.run(5*time.Second, 150, inFirst)
	f.run(20*time.Second, 150, inFirst)
	near := 0
	for i := range 4 {
		near += f.served[addressOf(0, i)]
	}
	share, late := float64(near)/float64(f.total()), float64(f.late)/float64(f.total())
	t.Logf("holders of the data centre with the demand run %.2f, late %.3f", share, late)
	// These can run 179 a second without a pause.
	if share > 0.65 {
		t.Fatalf("holders of the data centre with the demand run %.2f of the searches", share)
	}
}

// Guards against searches without a holder while the holders of the own data centre are
// cut off and only one other data centre can be reached.
func TestHoldersOfTheDataCentreInReachAreUsed(t *testing.T) {
	f := newFleetModel(37, 0.8, 0.8, 0.134)
	for _, a := range f.askers {
		if a.dataCentre == "z0" {
			for i := range 3 {
				a.unreachable[addressOf(0, i)], a.unreachable[addressOf(1, i)] = true, true
			}
		}
	}
	f.run(30*time.Second, 100, func(a *modelAsker) bool { return a.dataCentre == "z0" })
	for address, n := range f.served {
		if address.Addr().As4()[1] != 2 {
			t.Fatalf("%d searches at %v, which is out of reach", n, address)
		}
	}
	if late := float64(f.late) / float64(f.total()); late > 0.1 {
		t.Fatalf("%.3f of the searches are late", late)
	}
}

// Guards against measurements of holders that are kept for ever.
func TestMeasurementsOfFormerHoldersAreDropped(t *testing.T) {
	c, now := NewChooser(), time.Now()
	c.Begin(addressOf(0, 0), now)
	c.Begin(addressOf(0, 1), now)
	c.End(addressOf(0, 1), Outcome{}, now)
	c.Keep(func(netip.AddrPort) bool { return false })
	if len(c.measured) != 1 {
		t.Fatalf("%d holders are measured, want the one with a search in flight", len(c.measured))
	}
}
