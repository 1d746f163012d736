package merge

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestTopKeepsTheGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRecords := rapid.IntRange(1, 10).Draw(t, "maxRecords")
		top := NewTop(maxRecords)
		var all []record
		for _, body := range rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 200), 0, 12).Draw(t, "bodies") {
			top.Add(body)
			for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
				all = append(all, record(body[:RecordBytes]))
			}
		}
		slices.SortFunc(all, compareDescending)
		var want []byte
		for _, r := range all[:min(len(all), maxRecords)] {
			want = append(want, r[:]...)
		}
		if got := top.Bytes(); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

func BenchmarkTop(b *testing.B) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 62)
	for b.Loop() {
		top := NewTop(50)
		for range 20 {
			top.Add(body)
		}
		top.Bytes()
	}
}
