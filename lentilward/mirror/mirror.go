// Package mirror keeps a local replica of the records in the platform's store,
// versioned by the store's eras and revisions, and updates it from the store or from peers.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// Record is the last write or deletion of one key.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Era is the era of the store in which this instance learned of the record. Copied is set
	// if that was with the first listing of the era, so that the record may be one of the copy
	// from which the store came back.
	Era    uint64 `cbor:"-"`
	Copied bool   `cbor:"-"`
}

// Delta is the difference between a version and a mirror's present state.
type Delta struct {
	// Revision is the revision of the era up to which the mirror has every change.
	Revision uint64   `cbor:"revision"`
	Era      uint64   `cbor:"era,omitempty"`
	Records  []Record `cbor:"records"`
	// Whole is set if Records are all records that exist, so that others are deleted.
	Whole bool `cbor:"whole,omitempty"`
	// Age is how long ago the version was last confirmed to be the newest.
	Age time.Duration `cbor:"age"`
}

// Version returns the version up to which the sender's mirror has every change.
func (d Delta) Version() blackboard.Version {
	return blackboard.Version{Era: d.Era, Revision: d.Revision}
}

// Mirror is a replica of the store's records in one era. It keeps deleted records as
// tombstones, so that deltas for peers include deletions.
type Mirror struct {
	// handOn is held from a change until OnChange has returned, so that changes are
	// handed on in the order in which they were made.
	handOn  sync.Mutex
	mu      sync.Mutex
	records map[string]Record
	version blackboard.Version
	// deletionsSince is the revision from which on the tombstones are complete.
	deletionsSince uint64
	// OnChange is called with the changed records after each change. It must not
	// change the mirror.
	OnChange func(records []Record)
	// OnNewEra is called before OnChange with the records of another era, with the version
	// that they replace and their own.
	OnNewEra func(before, after blackboard.Version)
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]Record), OnChange: func([]Record) {}, OnNewEra: func(_, _ blackboard.Version) {}}
}

// Version returns the version up to which the mirror has every change; zero while
// the mirror is empty.
func (m *Mirror) Version() blackboard.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Since returns the changes after a version, or all records if not every deletion
// after it is known or if it is of another era.
func (m *Mirror) Since(v blackboard.Version) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Era: m.version.Era, Revision: m.version.Revision, Whole: v.Era != m.version.Era || v.Revision < m.deletionsSince}
	for _, r := range m.records {
		if d.Whole && !r.Deleted || !d.Whole && r.Revision > v.Revision {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Apply merges changes that bring the mirror up to the version. They must be
// complete since this mirror's version, as the result of a watch from it is. Changes of
// another era or up to an older version have no effect: a record that was deleted since then
// may have left no tombstone.
func (m *Mirror) Apply(records []Record, v blackboard.Version) {
	m.handOn.Lock()
	defer m.handOn.Unlock()
	m.mu.Lock()
	if v.Era != m.version.Era || v.Revision < m.version.Revision {
		m.mu.Unlock()
		return
	}
	changed := m.mergeNewer(records)
	m.mu.Unlock()
	m.publish(changed, v.Revision, false)
}

// publish hands on changed records, and makes the revision known once that is done.
// The caller holds handOn.
func (m *Mirror) publish(changed []Record, revision uint64, whole bool) {
	if len(changed) > 0 {
		m.OnChange(changed)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.version.Revision {
		return
	}
	m.version.Revision = revision
	if whole {
		// Records that were written and deleted in between are not known.
		m.deletionsSince = revision
	}
}

// Merge merges the result of another mirror's Since this mirror's version.
func (m *Mirror) Merge(d Delta) {
	if d.Whole {
		m.MergeListing(d.Records, d.Version())
		return
	}
	m.Apply(d.Records, d.Version())
}

// MergeListing merges a complete listing that began at a version. Records that are
// missing from it become deleted, unless they are newer than the version. A listing of a
// newer era replaces all records; one of an older version has no effect.
func (m *Mirror) MergeListing(records []Record, v blackboard.Version) {
	m.handOn.Lock()
	defer m.handOn.Unlock()
	switch before := m.Version(); {
	case v.Compare(before) < 0:
	case v.Era > before.Era:
		if !before.IsZero() {
			m.OnNewEra(before, v)
		}
		m.replace(records, v)
	default:
		m.mergeListing(records, v.Revision)
	}
}

// replace replaces all records by those of a newer era. The caller holds handOn.
func (m *Mirror) replace(listed []Record, v blackboard.Version) {
	records := make(map[string]Record, len(listed))
	changed := make([]Record, 0, len(listed))
	for _, r := range listed {
		r.Era, r.Copied = v.Era, true
		records[r.Key] = r
		changed = append(changed, r)
	}
	m.mu.Lock()
	for key, r := range m.records {
		if _, isListed := records[key]; !isListed && !r.Deleted {
			changed = append(changed, Record{Key: key, Revision: v.Revision, Deleted: true, Era: v.Era})
		}
	}
	m.mu.Unlock()
	m.OnChange(changed)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records, m.version, m.deletionsSince = records, v, v.Revision
}

// mergeListing merges a listing of the present era. The caller holds handOn.
func (m *Mirror) mergeListing(records []Record, revision uint64) {
	isListed := make(map[string]bool, len(records))
	for _, r := range records {
		isListed[r.Key] = true
	}
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
		r.Era, r.Copied = m.version.Era, false
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
