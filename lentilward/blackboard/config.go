package blackboard

import (
	"maps"
	"net/netip"
	"time"
)

// maxHistoryChanges bounds the length of Config.History.
const maxHistoryChanges = 128

// Config is one revision of the operators' configuration. It is immutable.
type Config struct {
	Revision uint64              `cbor:"revision"`
	Services map[string]*Service `cbor:"services"`
	// Withdrawn maps each withdrawn data centre to the revision that withdrew it.
	Withdrawn map[string]uint64 `cbor:"withdrawn"`
	// History holds the latest changes, oldest first.
	History []Change `cbor:"history"`
}

// Service is one searchable data set and the backend servers that hold it.
type Service struct {
	Name           string          `cbor:"name"`
	Shards         uint32          `cbor:"shards"`
	Priority       uint32          `cbor:"priority"`
	BackendServers []BackendServer `cbor:"backend-servers"`
	Limits         []Limit         `cbor:"limits"`
	HedgeBudget    float64         `cbor:"hedge-budget"`
	Revision       uint64          `cbor:"revision"`
	// ChangeID identifies the change that wrote this version of the service.
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

// Change is the history entry of one accepted configuration change.
type Change struct {
	Revision uint64    `cbor:"revision"`
	ID       string    `cbor:"id"`
	Author   string    `cbor:"author"`
	Summary  string    `cbor:"summary"`
	Time     time.Time `cbor:"time"`
	// Subject is the service or data centre that was changed, as
	// "service/NAME" or "data-centre/NAME".
	Subject string `cbor:"subject"`
	// Removed is the name of the service that the change removed, if any.
	Removed string `cbor:"removed"`
}

// Next returns a copy of the configuration with the next revision number and the
// change added to its history. The caller may modify the copy's Services and
// Withdrawn.
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
	next.History = append(next.History, c.History[max(0, len(c.History)-maxHistoryChanges+1):]...)
	next.History = append(next.History, change)
	return next
}

// Since returns the changes after a revision, and false if the history does not
// reach back to it.
func (c *Config) Since(revision uint64) ([]Change, bool) {
	if revision >= c.Revision {
		return nil, true
	}
	if len(c.History) == 0 || c.History[0].Revision > revision+1 {
		return nil, false
	}
	var changes []Change
	for _, h := range c.History {
		if h.Revision > revision {
			changes = append(changes, h)
		}
	}
	return changes, true
}

// FindChange returns the change with this id and reports whether the history
// holds it.
func (c *Config) FindChange(id string) (Change, bool) {
	for _, h := range c.History {
		if h.ID == id {
			return h, true
		}
	}
	return Change{}, false
}

// Delta is the difference between two revisions of the configuration.
type Delta struct {
	// From is the oldest revision that the delta applies to; 0 if the delta
	// holds the full configuration.
	From      uint64            `cbor:"from"`
	To        uint64            `cbor:"to"`
	Changed   []*Service        `cbor:"changed"`
	Removed   []string          `cbor:"removed"`
	Withdrawn map[string]uint64 `cbor:"withdrawn"`
	History   []Change          `cbor:"history"`
}

// DeltaFrom returns the difference from an older revision, or the full
// configuration if the history does not reach back to that revision.
func (c *Config) DeltaFrom(revision uint64) *Delta {
	changes, complete := c.Since(revision)
	if !complete {
		revision = 0
		changes = c.History
	}
	d := &Delta{From: revision, To: c.Revision, Withdrawn: c.Withdrawn, History: changes}
	for _, s := range c.Services {
		if s.Revision > revision || revision == 0 {
			d.Changed = append(d.Changed, s)
		}
	}
	for _, h := range changes {
		if h.Removed != "" && c.Services[h.Removed] == nil {
			d.Removed = append(d.Removed, h.Removed)
		}
	}
	return d
}

// Apply returns the configuration after the delta, or nil if the delta starts at
// a later revision than c or does not lead to a newer one.
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

// mergeHistory appends the changes of a delta that the history does not hold
// yet. The result is cut to maxHistoryChanges.
func mergeHistory(history []Change, d *Delta) []Change {
	if d.From == 0 {
		return d.History
	}
	merged := append([]Change(nil), history...)
	last := d.From
	if len(history) > 0 {
		last = history[len(history)-1].Revision
	}
	for _, h := range d.History {
		if h.Revision > last {
			merged = append(merged, h)
		}
	}
	return merged[max(0, len(merged)-maxHistoryChanges):]
}

// Install stores a configuration if it is newer than the one in force, and
// reports whether it did. Any component may call it, at any time.
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
