package blackboard

import (
	"maps"
	"net/netip"
	"time"
)

// historyLength is the number of changes that a configuration remembers.
const historyLength = 128

// Config is one revision of the operators' configuration. It is immutable.
type Config struct {
	Revision uint64              `cbor:"revision"`
	Services map[string]*Service `cbor:"services"`
	// Withdrawn maps the data centres out of service to the revision that
	// withdrew them.
	Withdrawn map[string]uint64 `cbor:"withdrawn"`
	// History has the latest changes, oldest first.
	History []Change `cbor:"history"`
}

// Service is one searchable data set.
type Service struct {
	Name           string          `cbor:"name"`
	Shards         uint32          `cbor:"shards"`
	Priority       uint32          `cbor:"priority"`
	BackendServers []BackendServer `cbor:"backend-servers"`
	Limits         []Limit         `cbor:"limits"`
	HedgeBudget    float64         `cbor:"hedge-budget"`
	Revision       uint64          `cbor:"revision"`
	// ChangeID names the change that wrote this version of the service.
	ChangeID string `cbor:"change-id"`
}

// BackendServer is one server of a service.
type BackendServer struct {
	Address     netip.AddrPort `cbor:"address"`
	DataCentre  string         `cbor:"data-centre"`
	Slots       uint32         `cbor:"slots"`
	Connections uint32         `cbor:"connections"`
	ColdLimit   uint32         `cbor:"cold-limit"`
	WarmRuns    uint32         `cbor:"warm-runs"`
	Draining    bool           `cbor:"draining"`
}

// Limit bounds the requests in flight of a caller and class on one instance.
type Limit struct {
	Caller   string `cbor:"caller"`
	Class    string `cbor:"class"`
	InFlight uint32 `cbor:"in-flight"`
}

// Change is one accepted change.
type Change struct {
	Revision uint64    `cbor:"revision"`
	ID       string    `cbor:"id"`
	Author   string    `cbor:"author"`
	Summary  string    `cbor:"summary"`
	Time     time.Time `cbor:"time"`
	// Subject is the service or data centre that was changed, as
	// "service/NAME" or "data-centre/NAME".
	Subject string `cbor:"subject"`
	// Removed is the name of the service that the change removed.
	Removed string `cbor:"removed"`
}

// Next returns a copy of the configuration with one more change.
func (c *Config) Next(change Change) *Config {
	next := &Config{
		Revision:  c.Revision + 1,
		Services:  maps.Clone(c.Services),
		Withdrawn: maps.Clone(c.Withdrawn),
	}
	if next.Services == nil {
		next.Services = make(map[string]*Service)
	}
	if next.Withdrawn == nil {
		next.Withdrawn = make(map[string]uint64)
	}
	change.Revision = next.Revision
	next.History = append(next.History, c.History[max(0, len(c.History)-historyLength+1):]...)
	next.History = append(next.History, change)
	return next
}

// Since returns the changes after a revision, and false if the history does
// not reach back that far.
func (c *Config) Since(revision uint64) ([]Change, bool) {
	if revision >= c.Revision {
		return nil, true
	}
	if len(c.History) == 0 || c.History[0].Revision > revision+1 {
		return nil, false
	}
	var since []Change
	for _, h := range c.History {
		if h.Revision > revision {
			since = append(since, h)
		}
	}
	return since, true
}

// FindChange returns the accepted change with this id.
func (c *Config) FindChange(id string) (Change, bool) {
	for _, h := range c.History {
		if h.ID == id {
			return h, true
		}
	}
	return Change{}, false
}

// Delta is what turns an older configuration into a newer one.
type Delta struct {
	// From is the oldest revision that the delta applies to; 0 if it is whole.
	From      uint64            `cbor:"from"`
	To        uint64            `cbor:"to"`
	Changed   []*Service        `cbor:"changed"`
	Removed   []string          `cbor:"removed"`
	Withdrawn map[string]uint64 `cbor:"withdrawn"`
	History   []Change          `cbor:"history"`
}

// DeltaFrom returns the difference to an older revision.
func (c *Config) DeltaFrom(revision uint64) *Delta {
	since, complete := c.Since(revision)
	if !complete {
		revision = 0
		since = c.History
	}
	d := &Delta{From: revision, To: c.Revision, Withdrawn: c.Withdrawn, History: since}
	for _, s := range c.Services {
		if s.Revision > revision || revision == 0 {
			d.Changed = append(d.Changed, s)
		}
	}
	for _, h := range since {
		if h.Removed != "" && c.Services[h.Removed] == nil {
			d.Removed = append(d.Removed, h.Removed)
		}
	}
	return d
}

// Apply returns the newer configuration, or nil if the delta does not fit or
// is not newer.
func (c *Config) Apply(d *Delta) *Config {
	if d.To <= c.Revision || d.From > c.Revision {
		return nil
	}
	next := &Config{Revision: d.To, Services: make(map[string]*Service), Withdrawn: d.Withdrawn}
	if d.From > 0 {
		maps.Copy(next.Services, c.Services)
	}
	for _, s := range d.Changed {
		next.Services[s.Name] = s
	}
	for _, name := range d.Removed {
		delete(next.Services, name)
	}
	next.History = mergeHistory(c.History, d)
	return next
}

// mergeHistory appends the changes of a delta that are not known yet.
func mergeHistory(known []Change, d *Delta) []Change {
	if d.From == 0 {
		return d.History
	}
	merged := append([]Change(nil), known...)
	last := d.From
	if len(known) > 0 {
		last = known[len(known)-1].Revision
	}
	for _, h := range d.History {
		if h.Revision > last {
			merged = append(merged, h)
		}
	}
	return merged[max(0, len(merged)-historyLength):]
}

// Install stores a configuration unless a newer one is in force already, and
// tells whether it did. Any controller may call it.
func (b *Board) Install(c *Config) bool {
	for {
		old := b.Config.Load()
		if c.Revision <= old.Revision {
			return false
		}
		if b.Config.value.CompareAndSwap(old, c) {
			if ch := b.Config.changed.Swap(nil); ch != nil {
				close(*ch)
			}
			return true
		}
	}
}
