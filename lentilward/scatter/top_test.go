package scatter

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestTopKeepsTheGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 10).Draw(t, "most")
		top := newTop(most)
		var all []record
		for _, body := range rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 200), 0, 12).Draw(t, "bodies") {
			top.add(body)
			for ; len(body) >= recordSize; body = body[recordSize:] {
				all = append(all, record(body[:recordSize]))
			}
		}
		slices.SortFunc(all, descending)
		var want []byte
		for _, r := range all[:min(len(all), most)] {
			want = append(want, r[:]...)
		}
		if got := top.bytes(); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

func BenchmarkTop(b *testing.B) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 62)
	for b.Loop() {
		top := newTop(50)
		for range 20 {
			top.add(body)
		}
		top.bytes()
	}
}
