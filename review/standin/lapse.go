package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// outage is how long the store is down. resentCount requests are sent again after it.
	outage      = 4500 * time.Millisecond
	resentCount = 10
)

// lapse runs requests that may run once, takes the store down for a while, in which leases
// run out, and then sends the same requests, with their ids, to the other instance, as
// callers do that did not get the answer.
func lapse(trouble bool) int {
	rec := newRecord()
	s := newGRPCSite("50ms")
	defer s.close()
	s.warmUp(rec)
	send := func(instance int) {
		for i := range resentCount {
			id := fmt.Sprintf("request-%02d", i)
			output, err := s.execute(instance, id)
			rec.add("caller: %s sent to instance-%d ended: %v, %s", id, instance+1, err, output)
		}
	}
	send(0)
	if trouble {
		ctx := context.Background()
		for _, kind := range []string{"kv-outage", "kv-lapse"} {
			if err := s.ledger.InjectFault(ctx, kind, "", outage, 0); err != nil {
				s.close()
				fatal(err)
			}
		}
		rec.add("store down for %v; leases run out", outage)
	}
	time.Sleep(outage + 5*time.Second)
	send(1)
	_, ran := s.runs()
	twice := 0
	for i := range resentCount {
		id := fmt.Sprintf("request-%02d", i)
		if ran[id] > 1 {
			twice++
		}
		rec.add("servers: %s ran %d times", id, ran[id])
	}
	code, verdict := held, "held"
	if twice > 0 {
		code, verdict = broken, fmt.Sprintf("TWICE broken: %d of %d requests ran more than once", twice, resentCount)
	}
	fmt.Println(verdict)
	if err := rec.write(verdict); err != nil {
		fatal(err)
	}
	return code
}
