package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lentilward.org/platform"
)

// newStoreAndClient returns a store and the system's own client of it.
func newStoreAndClient(t *testing.T) (*Store, *platform.Store) {
	s := New(1)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), server.Client())
}

func put(t *testing.T, c *platform.Store, key, value string, lease uint64) uint64 {
	t.Helper()
	revision, err := c.Commit(t.Context(), nil, []platform.Write{{Key: key, Value: []byte(value), Lease: lease}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func TestCommitWithFailedConditionChangesNothing(t *testing.T) {
	_, c := newStoreAndClient(t)
	first := put(t, c, "a", "1", 0)
	_, err := c.Commit(t.Context(), []platform.Condition{{Key: "a", Revision: first}, {Key: "b", Revision: 7}},
		[]platform.Write{{Key: "a", Value: []byte("2")}}, nil)
	if !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("commit with a failed condition returned %v, want ErrConflict", err)
	}
	if i, err := c.Get(t.Context(), "a"); err != nil || string(i.Value) != "1" {
		t.Fatal(i, err)
	}
	if _, err := c.Commit(t.Context(), []platform.Condition{{Key: "a", Revision: first}, {Key: "b"}}, nil, []string{"a"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(t.Context(), "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of a deleted key returned %v, want ErrNotFound", err)
	}
}

func TestRangePagesCoverPrefix(t *testing.T) {
	_, c := newStoreAndClient(t)
	for i := range 120 {
		put(t, c, fmt.Sprintf("k/%03d", i), "", 0)
	}
	put(t, c, "other", "", 0)
	after, n := "", 0
	for {
		page, err := c.Range(t.Context(), "k/", after)
		if err != nil {
			t.Fatal(err)
		}
		n += len(page.Items)
		if !page.More {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	if n != 120 {
		t.Fatalf("pages have %d items, want 120", n)
	}
}

func TestWatchReportsWritesAndLeaseExpiry(t *testing.T) {
	s, c := newStoreAndClient(t)
	lease, err := c.GrantLease(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	revision := put(t, c, "p/a", "1", lease.ID)
	s.ExpireLeases()
	page, err := c.Watch(t.Context(), "p/", revision, time.Minute)
	if err != nil || len(page.Items) != 1 || !page.Items[0].Deleted {
		t.Fatal(page, err)
	}
	done := make(chan *platform.Page, 1)
	go func() {
		page, err := c.Watch(context.WithoutCancel(t.Context()), "p/", page.Revision, time.Minute)
		if err != nil {
			t.Error(err)
		}
		done <- page
	}()
	put(t, c, "q", "no", 0)
	put(t, c, "p/b", "yes", 0)
	if page := <-done; len(page.Items) != 1 || string(page.Items[0].Value) != "yes" {
		t.Fatalf("watch reported %+v, want the write of p/b only", page)
	}
	if err := c.RenewLease(t.Context(), lease.ID); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("renewing an expired lease returned %v, want ErrNotFound", err)
	}
}

func TestWatchBeforeCompactionFails(t *testing.T) {
	s, c := newStoreAndClient(t)
	revision := put(t, c, "a", "1", 0)
	put(t, c, "a", "2", 0)
	s.Compact(0)
	for {
		if _, err := c.Watch(t.Context(), "", revision, 0); errors.Is(err, platform.ErrCompacted) {
			return
		}
	}
}

func TestRefusedCallerIsServedAfterTheFault(t *testing.T) {
	s, c := newStoreAndClient(t)
	s.RefuseCaller("127.0.0.1", time.Hour)
	if _, err := c.Range(t.Context(), "", ""); !errors.Is(err, platform.ErrRefused) {
		t.Fatalf("call from a refused host returned %v, want ErrRefused", err)
	}
	s.RefuseCaller("127.0.0.1", 0)
	if _, err := c.Range(t.Context(), "", ""); err != nil {
		t.Fatal(err)
	}
}

func TestCommitTakesEffectWhenReplyIsLost(t *testing.T) {
	s, c := newStoreAndClient(t)
	s.LoseReplies(1, time.Hour, false)
	if _, err := c.Commit(t.Context(), nil, []platform.Write{{Key: "a"}}, nil); err == nil {
		t.Fatal("commit succeeded although every reply is lost")
	}
	s.LoseReplies(0, 0, false)
	if _, err := c.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
}

func TestTokenBucketLimitsAndRefills(t *testing.T) {
	b := tokenBucket{rate: 2, tokens: 2}
	now := time.Now()
	for i, want := range []bool{true, true, false} {
		if b.take(now) != want {
			t.Fatalf("call %d: want admitted to be %v", i, want)
		}
	}
	if !b.take(now.Add(time.Second)) {
		t.Fatal("call refused 1 s after the bucket was empty")
	}
}

// Guards against a stand-in that keeps acknowledged writes when it returns from a copy, or
// answers watches from revisions that it does not have.
func TestReturnFromCopyLosesLaterWrites(t *testing.T) {
	s, c := newStoreAndClient(t)
	put(t, c, "a", "1", 0)
	older := s.TakeCopy()
	newest := put(t, c, "a", "2", 0)
	waiting := make(chan error)
	go func() {
		_, err := c.Watch(t.Context(), "", newest, time.Minute)
		waiting <- err
	}()
	time.Sleep(10 * time.Millisecond)
	s.Restore(older)
	if err := <-waiting; err == nil {
		t.Error("a watch that spans the return got a reply")
	}
	if i, err := c.Get(t.Context(), "a"); err != nil || string(i.Value) != "1" {
		t.Errorf("value %q after the return, error %v", i.Value, err)
	}
	if _, err := c.Watch(t.Context(), "", newest, time.Millisecond); !errors.Is(err, platform.ErrCompacted) {
		t.Errorf("watch from a revision of the former era returned %v, want ErrCompacted", err)
	}
	if again := put(t, c, "a", "3", 0); again != newest {
		t.Errorf("revision %d after the return, want %d again", again, newest)
	}
}
