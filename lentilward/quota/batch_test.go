package quota

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a message for each server that a search calls, questions for which requests
// wait and that are held back, and replies that go to other questions.
func TestQuestionsAreSentTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var sizes []int
		b := NewBatcher(func(_ context.Context, to string, questions []Question) ([]Reply[string], error) {
			if to == "lost" {
				return nil, errors.New("lost")
			}
			mu.Lock()
			defer mu.Unlock()
			sizes = append(sizes, len(questions))
			if to == "short" {
				return nil, nil
			}
			replies := make([]Reply[string], len(questions))
			for i, q := range questions {
				replies[i].Granted = q.Need
			}
			return replies, nil
		})
		begin := time.Now()
		var pending sync.WaitGroup
		for need := 1; need <= 90; need++ {
			pending.Go(func() {
				reply, err := b.Ask(t.Context(), "home", Ask{Need: need}, false)
				if err != nil || reply.Granted != need {
					t.Errorf("question %d: got %d, error %v", need, reply.Granted, err)
				}
			})
		}
		pending.Wait()
		if took := time.Since(begin); len(sizes) != 1 || took > 2*urgentDelay {
			t.Errorf("messages of %v questions after %v, want one of 90 after %v", sizes, took, urgentDelay)
		}
		for _, to := range []string{"lost", "short"} {
			if _, err := b.Ask(t.Context(), to, Ask{Need: 1}, false); err == nil {
				t.Errorf("%s: no error", to)
			}
		}
		for range 2*maxBatch + 1 {
			pending.Go(func() {
				if _, err := b.Ask(t.Context(), "home", Ask{Ahead: 1}, false); err != nil {
					t.Error(err)
				}
			})
		}
		pending.Wait()
		for _, n := range sizes {
			if n > maxBatch {
				t.Errorf("a message has %d questions", n)
			}
		}
	})
}

// Guards against an instance that crashes, since the timer of a batch fires while a question
// that is urgent, or one too many, sets it anew (found on days with many limited servers).
func TestBatchIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		b := NewBatcher(func(_ context.Context, _ string, questions []Question) ([]Reply[string], error) {
			sent++
			return make([]Reply[string], len(questions)), nil
		})
		current, _ := b.add("home", Question{Ask: Ask{Ahead: 1}})
		b.flush("home", current)
		b.flush("home", current)
		time.Sleep(2 * relaxedDelay)
		if sent != 1 {
			t.Errorf("sent %d times", sent)
		}
	})
}
