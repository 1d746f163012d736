// Package merge puts the records of many parts in order.
package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the size of one record, in bytes.
const RecordSize = 16

type record [RecordSize]byte

func descending(a, b record) int { return bytes.Compare(b[:], a[:]) }

// Top keeps the greatest records.
type Top struct {
	most    int
	records []record
	// floor is the least record that can still be among them, once full.
	floor record
	full  bool
}

// NewTop returns an empty set of at most so many records.
func NewTop(most int) *Top {
	return &Top{most: most, records: make([]record, 0, 2*most)}
}

// Add takes in the records of a body. A remainder is not a record.
func (t *Top) Add(body []byte) {
	for ; len(body) >= RecordSize; body = body[RecordSize:] {
		r := record(body[:RecordSize])
		if t.full && bytes.Compare(r[:], t.floor[:]) <= 0 {
			continue
		}
		t.records = append(t.records, r)
		if len(t.records) >= 2*t.most {
			t.shrink()
		}
	}
}

// shrink drops all but the greatest records.
func (t *Top) shrink() {
	slices.SortFunc(t.records, descending)
	if t.most > 0 && len(t.records) >= t.most {
		t.records = t.records[:t.most]
		t.floor, t.full = t.records[t.most-1], true
	}
}

// Bytes returns the records, the greatest first.
func (t *Top) Bytes() []byte {
	t.shrink()
	out := make([]byte, 0, len(t.records)*RecordSize)
	for _, r := range t.records[:min(len(t.records), t.most)] {
		out = append(out, r[:]...)
	}
	return out
}
