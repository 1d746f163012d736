package main

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// Guards against one fetch for each peer that announces the same revision.
func TestRevisionAnnouncedByManyPeersIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var revision, fetches atomic.Int64
		f := newRecordFetcher(func() blackboard.Version { return blackboard.Version{Revision: uint64(revision.Load())} }, func(context.Context, netip.AddrPort) {
			fetches.Add(1)
			time.Sleep(10 * time.Millisecond)
			revision.Store(7)
		})
		for i := range 30 {
			go f.handleAnnouncement(t.Context(), netip.AddrPortFrom(storeAddress.Addr(), uint16(i)), blackboard.Version{Revision: 7})
		}
		time.Sleep(time.Second)
		if n := fetches.Load(); n != 1 {
			t.Fatalf("%d fetches of one revision", n)
		}
	})
}
