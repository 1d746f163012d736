// Package merge combines the records of partial results into one list, sorted
// in descending order and limited in length.
package merge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record, in bytes.
const RecordBytes = 16

type record [RecordBytes]byte

func compareDescending(a, b record) int { return bytes.Compare(b[:], a[:]) }

// Top collects records and retains the greatest of them.
type Top struct {
	maxRecords int
	records    []record
	// threshold is the smallest retained record, valid once full is set. Records
	// that are not greater are skipped.
	threshold record
	full      bool
}

// NewTop returns an empty Top that retains at most maxRecords records.
func NewTop(maxRecords int) *Top {
	return &Top{maxRecords: maxRecords, records: make([]record, 0, 2*maxRecords)}
}

// Add adds the records of a body. Bytes after the last complete record are
// ignored.
func (t *Top) Add(body []byte) {
	for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
		r := record(body[:RecordBytes])
		if t.full && bytes.Compare(r[:], t.threshold[:]) <= 0 {
			continue
		}
		t.records = append(t.records, r)
		if len(t.records) >= 2*t.maxRecords {
			t.shrink()
		}
	}
}

// shrink sorts the records and drops all but the greatest maxRecords.
func (t *Top) shrink() {
	slices.SortFunc(t.records, compareDescending)
	if t.maxRecords > 0 && len(t.records) >= t.maxRecords {
		t.records = t.records[:t.maxRecords]
		t.threshold, t.full = t.records[t.maxRecords-1], true
	}
}

// Bytes returns the retained records in descending order.
func (t *Top) Bytes() []byte {
	t.shrink()
	out := make([]byte, 0, len(t.records)*RecordBytes)
	for _, r := range t.records[:min(len(t.records), t.maxRecords)] {
		out = append(out, r[:]...)
	}
	return out
}
