package scatter

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/schema/domain"
)

func TestSearchMergesAllParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, refusal := run1(t, newTask(searchRoute(3, 1),
			shard(t, "s1", &fakeServer{name: "b", answer: quick("b", 5*time.Millisecond)}),
			shard(t, "s2", &fakeServer{name: "c", answer: quick("c", 9*time.Millisecond)}),
			shard(t, "s3", &fakeServer{name: "a", answer: quick("a", time.Millisecond)})))
		if refusal != nil {
			t.Fatal(refusal)
		}
		if got := string(a.Records); got != pad("c")+pad("b")+pad("a") || a.Missing != 0 || len(a.Proofs) != 3 {
			t.Fatalf("records %q, missing %d, proofs %v", got, a.Missing, a.Proofs)
		}
	})
}

// A server that pauses is hedged on the other one, and the answer is in time.
func TestPausedServerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused := &fakeServer{name: "a", answer: quick("a", 400*time.Millisecond)}
		other := &fakeServer{name: "b", answer: quick("b", 20*time.Millisecond)}
		begin := time.Now()
		a, stats, refusal := run1(t, newTask(searchRoute(1, 1), shard(t, "s1", paused, other)))
		if refusal != nil || stats.Hedges != 1 || a.Proofs[0] != "stamp-b" {
			t.Fatalf("refusal %v, stats %+v, answer %+v", refusal, stats, a)
		}
		if took := time.Since(begin); took > 150*time.Millisecond {
			t.Fatalf("took %v", took)
		}
		settle()
		if paused.cuts() > 0 {
			t.Fatal("the call that lost was cut, and its connection with it")
		}
	})
}

// Just before the objective an answer with most parts goes out; before that,
// and with too few parts, it waits.
func TestEarlyAnswerWithMostParts(t *testing.T) {
	for _, c := range []struct {
		least float64
		early bool
		want  time.Duration
	}{{0.5, true, 185 * time.Millisecond}, {1, true, 400 * time.Millisecond}, {0.5, false, 400 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			begin := time.Now()
			policy := testPolicy
			policy.EarlyAnswer = c.early
			a, _, refusal := newTestEngine(policy).Run(t.Context(), newTask(searchRoute(2, c.least),
				shard(t, "s1", &fakeServer{name: "a", answer: quick("a", time.Millisecond)}),
				shard(t, "s2", &fakeServer{name: "b", answer: quick("b", 400*time.Millisecond)})))
			if refusal != nil {
				t.Fatal(refusal)
			}
			if took := time.Since(begin).Round(time.Millisecond); took != c.want {
				t.Fatalf("least %v: answered after %v with %d missing, want %v", c.least, took, a.Missing, c.want)
			}
		})
	}
}

// A shard without servers is not waited for; too few shards are refused at
// once, and truly.
func TestUnreachableShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := &fakeServer{name: "a", answer: quick("a", time.Millisecond)}
		begin := time.Now()
		a, stats, refusal := run1(t, newTask(searchRoute(2, 0.5), shard(t, "s1", good), shard(t, "s2")))
		if len(stats.Without) != 1 || stats.Without[0] != "s2: failed after 0 calls" {
			t.Errorf("missing services are told as %q", stats.Without)
		}
		if refusal != nil || a.Missing != 1 || time.Since(begin) > 10*time.Millisecond {
			t.Fatalf("refusal %v, answer %+v after %v", refusal, a, time.Since(begin))
		}
		_, _, refusal = run1(t, newTask(searchRoute(2, 1), shard(t, "s1", good), shard(t, "s2")))
		if refusal == nil || refusal.Outcome != domain.NotRun || refusal.RetryAfter == 0 || good.count() != 1 {
			t.Fatalf("refusal %+v, %d runs", refusal, good.count())
		}
	})
}

func TestRefusedConnectionCostsNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := &fakeServer{name: "down", refuse: true}
		s := shard(t, "s", down, &fakeServer{name: "full", answer: failing(503, "Not-Executed: 1\r\n")},
			&fakeServer{name: "good", answer: quick("good", time.Millisecond)})
		a, stats, refusal := run1(t, newTask(singleRoute(false), s))
		if refusal != nil || a.Reply.Proof != "stamp-good" {
			t.Fatalf("refusal %v, stats %+v", refusal, stats)
		}
	})
}

// What may have run is never sent again if it is not idempotent, and its
// answer promises nothing.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, answer := range map[string]func(*http.Request) (time.Duration, string){
		"cut": func(*http.Request) (time.Duration, string) { return time.Millisecond, "" },
		"half a reply": func(*http.Request) (time.Duration, string) {
			return 0, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
		},
		"not a reply":      func(*http.Request) (time.Duration, string) { return 0, "garbage\r\n\r\n" },
		"503 that may lie": failing(503, ""),
		"silence":          quick("a", time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				second := &fakeServer{name: "b", answer: quick("b", 0)}
				first := &fakeServer{name: "a", answer: answer}
				task := newTask(singleRoute(false), shard(t, "s", first, second))
				task.Request.Method = "POST"
				begin := time.Now()
				a, _, refusal := run1(t, task)
				if refusal == nil || refusal.Outcome != domain.Unknown || second.count() != 0 {
					t.Fatalf("answer %+v, refusal %+v, %d runs on the second server", a, refusal, second.count())
				}
				if took := time.Since(begin); took > time.Second {
					t.Fatalf("took %v, caller waits for 1s", took)
				}
			})
		})
	}
}

func TestRefusalThatSaysNotRunIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := failing(503, "Not-Executed: 1\r\n")
		s := shard(t, "s", &fakeServer{name: "a", answer: full}, &fakeServer{name: "b", answer: full})
		_, _, refusal := run1(t, newTask(singleRoute(false), s))
		if refusal == nil || refusal.Outcome != domain.NotRun || refusal.RetryAfter == 0 {
			t.Fatalf("refusal %+v", refusal)
		}
	})
}

// A failure that a server stamped is passed on once no attempt is left.
func TestFailureIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := failing(500, "Server-Stamp: x\r\n")
		a, stats, refusal := run1(t, newTask(singleRoute(true),
			shard(t, "s", &fakeServer{name: "a", answer: bad}, &fakeServer{name: "b", answer: bad})))
		if refusal != nil || a.Reply.Status != 500 || stats.Repeats != 1 {
			t.Fatalf("refusal %+v, stats %+v", refusal, stats)
		}
	})
}

// A failure is no part, even with a proof, and no part counts twice.
func TestFailureIsNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := &fakeServer{name: "a", answer: failing(500, "Server-Stamp: x\r\n")}
		good := &fakeServer{name: "b", answer: quick("b", 0)}
		a, _, refusal := run1(t, newTask(searchRoute(1, 1), shard(t, "s1", bad, good)))
		if refusal != nil || len(a.Proofs) != 1 || a.Proofs[0] != "stamp-b" {
			t.Fatalf("refusal %v, answer %+v", refusal, a)
		}
	})
}

// Once the caller has left, its calls are cut and none is started.
func TestCallsEndWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &fakeServer{name: "a", answer: quick("a", time.Second)}
		second := &fakeServer{name: "b", answer: quick("b", 0)}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, leave)
		_, _, refusal := newTestEngine(testPolicy).Run(ctx, newTask(searchRoute(1, 1), shard(t, "s1", slow, second)))
		if refusal == nil || refusal.Reason != domain.Abandoned {
			t.Fatalf("refusal %+v", refusal)
		}
		settle()
		if slow.cuts() != 1 || second.count() != 0 {
			t.Fatalf("%d calls cut, %d started later", slow.cuts(), second.count())
		}
	})
}

// A server that leaves service gets no hedge, though the request began before.
func TestNoNewWorkForServersOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second := &fakeServer{name: "b", answer: quick("b", 0)}
		s := shard(t, "s1", &fakeServer{name: "a", answer: quick("a", 150*time.Millisecond)}, second)
		time.AfterFunc(20*time.Millisecond, func() { s.Servers()[1].SetOut(true) })
		if _, _, refusal := run1(t, newTask(searchRoute(1, 1), s)); refusal != nil {
			t.Fatal(refusal)
		}
		if second.count() != 0 {
			t.Fatal("server out of service got a hedge")
		}
	})
}

// Requests that find no room wait in order of rank, and give up in time.
func TestWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := shard(t, "s", &fakeServer{name: "a", answer: quick("a", 100*time.Millisecond)})
		s.Servers()[0].Pool.Limit.Store(1)
		type result struct {
			rank    int
			took    time.Duration
			refusal *domain.Refusal
		}
		results := make(chan result, 3)
		for rank := range 3 {
			go func() {
				time.Sleep(time.Duration(3-rank) * time.Millisecond)
				route := singleRoute(false)
				route.Rank = rank
				begin := time.Now()
				_, _, refusal := run1(t, newTask(route, s))
				results <- result{rank, time.Since(begin), refusal}
			}()
		}
		for _, want := range []int{2, 0, 1} {
			if r := <-results; r.rank != want || r.refusal != nil {
				t.Fatalf("rank %d after %v, refusal %v; want rank %d", r.rank, r.took, r.refusal, want)
			}
		}
	})
}

func TestBudgetBoundsHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &fakeServer{name: "a", answer: quick("a", 150*time.Millisecond)}
		second := &fakeServer{name: "b", answer: quick("b", 150*time.Millisecond)}
		s := shard(t, "s1", slow, second)
		none := balance.NewService("s1", func() *balance.Allowance { return &balance.Allowance{Window: time.Second} })
		none.SetServers(s.Servers())
		_, stats, refusal := run1(t, newTask(searchRoute(1, 1), none))
		if refusal != nil || stats.Hedges != 0 || second.count() != 0 {
			t.Fatalf("refusal %v, stats %+v", refusal, stats)
		}
	})
}
