package scatter

import (
	"bytes"
	"slices"
)

// recordSize is the size of one record, in bytes.
const recordSize = 16

type record [recordSize]byte

func descending(a, b record) int { return bytes.Compare(b[:], a[:]) }

// top keeps the greatest records.
type top struct {
	most    int
	records []record
	// floor is the least record that can still be among them, once full.
	floor record
	full  bool
}

func newTop(most int) *top {
	return &top{most: most, records: make([]record, 0, 2*most)}
}

// add takes in the records of a body. A remainder is not a record.
func (t *top) add(body []byte) {
	for ; len(body) >= recordSize; body = body[recordSize:] {
		r := record(body[:recordSize])
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
func (t *top) shrink() {
	slices.SortFunc(t.records, descending)
	if t.most > 0 && len(t.records) >= t.most {
		t.records = t.records[:t.most]
		t.floor, t.full = t.records[t.most-1], true
	}
}

// bytes returns the records, the greatest first.
func (t *top) bytes() []byte {
	t.shrink()
	out := make([]byte, 0, len(t.records)*recordSize)
	for _, r := range t.records[:min(len(t.records), t.most)] {
		out = append(out, r[:]...)
	}
	return out
}
