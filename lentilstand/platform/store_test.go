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

// newBed returns a store with a client of the product.
func newBed(t *testing.T) (*Store, *platform.Store) {
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

func TestConditionsHoldOrNothingIsDone(t *testing.T) {
	_, c := newBed(t)
	first := put(t, c, "a", "1", 0)
	_, err := c.Commit(t.Context(), []platform.Condition{{Key: "a", Revision: first}, {Key: "b", Revision: 7}},
		[]platform.Write{{Key: "a", Value: []byte("2")}}, nil)
	if !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if i, err := c.Get(t.Context(), "a"); err != nil || string(i.Value) != "1" {
		t.Fatal(i, err)
	}
	if _, err := c.Commit(t.Context(), []platform.Condition{{Key: "a", Revision: first}, {Key: "b"}}, nil, []string{"a"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(t.Context(), "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("got %v, want nothing", err)
	}
}

func TestPagesFollowEachOther(t *testing.T) {
	_, c := newBed(t)
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
		t.Fatalf("%d items, want 120", n)
	}
}

func TestWatchHearsWritesDeletesAndEndsOfLeases(t *testing.T) {
	s, c := newBed(t)
	lease, _, err := c.Grant(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	at := put(t, c, "p/a", "1", lease)
	s.Lapse()
	page, err := c.Watch(t.Context(), "p/", at, time.Minute)
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
		t.Fatalf("heard %+v", page)
	}
	if err := c.Keep(t.Context(), lease); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("renewed a lease that has ended: %v", err)
	}
}

func TestForgottenHistory(t *testing.T) {
	s, c := newBed(t)
	at := put(t, c, "a", "1", 0)
	put(t, c, "a", "2", 0)
	s.Compact(0)
	for {
		if _, err := c.Watch(t.Context(), "", at, 0); errors.Is(err, platform.ErrHistoryGone) {
			return
		}
	}
}

func TestSomeAreRefusedWhileOthersAreServed(t *testing.T) {
	s, c := newBed(t)
	s.Shut("127.0.0.1", time.Hour)
	if _, err := c.Range(t.Context(), "", ""); !errors.Is(err, platform.ErrRefused) {
		t.Fatalf("got %v, want a refusal", err)
	}
	s.Shut("127.0.0.1", 0)
	if _, err := c.Range(t.Context(), "", ""); err != nil {
		t.Fatal(err)
	}
}

func TestLostAnswersAreDoneAllTheSame(t *testing.T) {
	s, c := newBed(t)
	s.LoseAnswers(1, time.Hour, false)
	if _, err := c.Commit(t.Context(), nil, []platform.Write{{Key: "a"}}, nil); err == nil {
		t.Fatal("answer was not lost")
	}
	s.LoseAnswers(0, 0, false)
	if _, err := c.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
}

func TestRates(t *testing.T) {
	b := bucket{rate: 2, tokens: 2}
	now := time.Now()
	for i, want := range []bool{true, true, false} {
		if b.take(now) != want {
			t.Fatalf("call %d: want %v", i, want)
		}
	}
	if !b.take(now.Add(time.Second)) {
		t.Fatal("bucket does not fill again")
	}
}
