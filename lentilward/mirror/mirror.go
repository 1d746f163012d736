// Package mirror keeps a local replica of the records in the platform's store,
// versioned by the store's revisions, and updates it from the store or from peers.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is the last write or deletion of one key.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Delta is the difference between a revision and a mirror's present state.
type Delta struct {
	// Revision is the revision up to which the mirror has every change.
	Revision uint64   `cbor:"revision"`
	Records  []Record `cbor:"records"`
	// Whole is set if Records are all records that exist, so that others are deleted.
	Whole bool `cbor:"whole,omitempty"`
	// Age is how long ago the revision was last confirmed to be the newest.
	Age time.Duration `cbor:"age"`
}

// Mirror is a replica of the store's records. It keeps deleted records as
// tombstones, so that deltas for peers include deletions.
type Mirror struct {
	// handOn is held from a change until OnChange has returned, so that changes are
	// handed on in the order in which they were made.
	handOn   sync.Mutex
	mu       sync.Mutex
	records  map[string]Record
	revision uint64
	// deletionsSince is the revision from which on the tombstones are complete.
	deletionsSince uint64
	// OnChange is called with the changed records after each change. It must not
	// change the mirror.
	OnChange func(records []Record)
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]Record), OnChange: func([]Record) {}}
}

// Revision returns the revision up to which the mirror has every change; 0 while
// the mirror is empty.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Since returns the changes after a revision, or all records if not every deletion
// after it is known.
func (m *Mirror) Since(revision uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Revision: m.revision, Whole: revision < m.deletionsSince}
	for _, r := range m.records {
		if d.Whole && !r.Deleted || !d.Whole && r.Revision > revision {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Apply merges changes that bring the mirror up to the revision. They must be
// complete since this mirror's revision, as the result of a watch from it is.
func (m *Mirror) Apply(records []Record, revision uint64) {
	m.handOn.Lock()
	defer m.handOn.Unlock()
	m.mu.Lock()
	changed := m.mergeNewer(records)
	m.mu.Unlock()
	m.publish(changed, revision, false)
}

// publish hands on changed records, and makes the revision known once that is done.
// The caller holds handOn.
func (m *Mirror) publish(changed []Record, revision uint64, whole bool) {
	if len(changed) > 0 {
		m.OnChange(changed)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return
	}
	m.revision = revision
	if whole {
		// Records that were written and deleted in between are not known.
		m.deletionsSince = revision
	}
}

// Merge merges the result of another mirror's Since this mirror's revision.
func (m *Mirror) Merge(d Delta) {
	if d.Whole {
		m.MergeListing(d.Records, d.Revision)
		return
	}
	m.Apply(d.Records, d.Revision)
}

// MergeListing merges a complete listing that began at a revision. Records that are
// missing from it become deleted, unless they are newer than the revision.
func (m *Mirror) MergeListing(records []Record, revision uint64) {
	isListed := make(map[string]bool, len(records))
	for _, r := range records {
		isListed[r.Key] = true
	}
	m.handOn.Lock()
	defer m.handOn.Unlock()
	m.mu.Lock()
	for key, r := range m.records {
		if !isListed[key] && !r.Deleted && r.Revision <= revision {
			records = append(records, Record{Key: key, Revision: revision, Deleted: true})
		}
	}
	changed := m.mergeNewer(records)
	m.mu.Unlock()
	m.publish(changed, revision, true)
}

// mergeNewer stores the records that are newer than those of the same key and
// returns them. At the same revision a deletion wins. The caller must hold mu.
func (m *Mirror) mergeNewer(records []Record) []Record {
	var changed []Record
	for _, r := range records {
		old, exists := m.records[r.Key]
		isSame := r.Revision == old.Revision && (old.Deleted || !r.Deleted)
		if exists && (r.Revision < old.Revision || isSame) {
			continue
		}
		m.records[r.Key] = r
		changed = append(changed, r)
	}
	return changed
}

// List returns the records whose keys have a prefix and that are not deleted,
// sorted by key.
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
