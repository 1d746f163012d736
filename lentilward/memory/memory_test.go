package memory

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
)

// Guards against large messages that keep small ones out, and against holding more than
// the limit.
func TestLargeMessagesLeaveHalfToSmallOnes(t *testing.T) {
	l := New(100_000)
	large := l.NewHold()
	for range 5 {
		if err := large.Take(10_000); err != nil {
			t.Fatal(err)
		}
	}
	if err := large.Take(1); !errors.Is(err, ErrExhausted) {
		t.Fatalf("got %v beyond half of the memory", err)
	}
	for range 5 {
		if err := l.NewHold().Take(10_000); err != nil {
			t.Fatalf("small message: %v", err)
		}
	}
	if err := l.NewHold().Take(1); !errors.Is(err, ErrExhausted) || l.Used() != l.Max() {
		t.Fatalf("got %v with %d of %d bytes held", err, l.Used(), l.Max())
	}
}

// Guards against bytes that are never given back, or twice, when messages are adopted by a
// request that ends meanwhile.
func TestEveryByteIsGivenBackOnce(t *testing.T) {
	l := New(1 << 20)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				request := l.NewHold()
				var calls sync.WaitGroup
				for range 3 {
					calls.Go(func() {
						message := l.NewHold()
						defer message.Empty()
						if message.Take(rand.Int64N(100)) == nil {
							request.Adopt(message)
						}
					})
				}
				request.Release()
				calls.Wait()
				if request.Bytes() != 0 || !errors.Is(request.Take(1), ErrExhausted) {
					t.Error("a released request holds bytes")
				}
			}
		})
	}
	wg.Wait()
	if n := l.Used(); n != 0 {
		t.Fatalf("%d bytes are still held", n)
	}
}

func TestNoLimitSetsNoBound(t *testing.T) {
	var none *Limit
	h := none.NewHold()
	if err := h.Take(1 << 40); err != nil {
		t.Fatal(err)
	}
	var request *Hold
	request.Adopt(h)
	request.Release()
	if h.Bytes() != 0 || request.Bytes() != 0 {
		t.Fatal("bytes without a limit are held")
	}
}
