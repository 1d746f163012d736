// Package mirror keeps a copy of the records that the platform's store holds,
// in the order of the store's revisions, and follows it through the store or
// through peers.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is one key as it was last written, or deleted.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Delta is what a mirror knows beyond a revision.
type Delta struct {
	// Revision up to which the mirror knows every change.
	Revision uint64   `cbor:"revision"`
	Records  []Record `cbor:"records"`
	// Age is how long ago the revision was known to be the newest.
	Age time.Duration `cbor:"age"`
}

// Mirror is the copy. Deleted records stay in it, so that peers learn of them.
type Mirror struct {
	mu       sync.Mutex
	records  map[string]Record
	revision uint64
	// Changed is called after each change, with the records that are new.
	Changed func(records []Record)
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]Record), Changed: func([]Record) {}}
}

// Revision returns the revision up to which the mirror knows every change; 0 if
// it was never filled.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Since returns what is newer than a revision.
func (m *Mirror) Since(revision uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Revision: m.revision}
	for _, r := range m.records {
		if r.Revision > revision {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Apply takes in changes after which every change up to the revision is known.
// It must have been asked for with Since or a watch from this mirror's
// revision.
func (m *Mirror) Apply(records []Record, revision uint64) {
	m.mu.Lock()
	fresh := m.merge(records)
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	if len(fresh) > 0 {
		m.Changed(fresh)
	}
}

// Reset takes in a whole listing that was begun at a revision. Keys that are
// not in it and are not newer were deleted.
func (m *Mirror) Reset(records []Record, revision uint64) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	m.mu.Lock()
	for key, r := range m.records {
		if !listed[key] && !r.Deleted && r.Revision <= revision {
			records = append(records, Record{Key: key, Revision: revision, Deleted: true})
		}
	}
	fresh := m.merge(records)
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	if len(fresh) > 0 {
		m.Changed(fresh)
	}
}

// merge keeps the newest of each key and returns those that are new. The
// caller holds mu.
func (m *Mirror) merge(records []Record) []Record {
	var fresh []Record
	for _, r := range records {
		old, known := m.records[r.Key]
		same := r.Revision == old.Revision && (old.Deleted || !r.Deleted)
		if known && (r.Revision < old.Revision || same) {
			continue
		}
		m.records[r.Key] = r
		fresh = append(fresh, r)
	}
	return fresh
}

// List returns the records of a prefix that are not deleted, in the order of
// their keys.
func (m *Mirror) List(prefix string) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Record
	for key, r := range m.records {
		if strings.HasPrefix(key, prefix) && !r.Deleted {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}
