package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// platformGrace is when the platform kills a process that it has stopped, and
	// instanceGrace the setting of the instance, which ends 0.5 s after it at the latest.
	platformGrace = 6 * time.Second
	instanceGrace = 5 * time.Second
	lossSlack     = 200 * time.Millisecond
	executeCount  = 16
)

// grpcStop stops one of two instances as planned while requests that may run once wait in
// it for a free slot.
func grpcStop(trouble bool) int {
	rec := newRecord()
	s := newGRPCSite("1500ms")
	defer s.close()
	s.warmUp(rec)
	type outcome struct {
		id, output      string
		sentAt, endedAt time.Time
		err             error
	}
	outcomes := make([]outcome, executeCount)
	var done sync.WaitGroup
	for i := range outcomes {
		done.Go(func() {
			o := &outcomes[i]
			o.id, o.sentAt = fmt.Sprintf("request-%02d", i), time.Now()
			o.output, o.err = s.execute(0, o.id)
			o.endedAt = time.Now()
		})
	}
	time.Sleep(500 * time.Millisecond)
	signalAt := time.Now()
	if trouble {
		stopped := s.instances[0]
		s.processes[stopped].Signal(syscall.SIGTERM)
		rec.add("SIGTERM to instance-1")
		select {
		case <-s.exits[stopped]:
			rec.add("instance-1 exited %.3f s after the signal", time.Since(signalAt).Seconds())
		case <-time.After(platformGrace):
			s.processes[stopped].Signal(syscall.SIGKILL)
			rec.add("SIGKILL to instance-1, %.3f s after SIGTERM", time.Since(signalAt).Seconds())
		}
	} else {
		rec.add("no SIGTERM")
	}
	done.Wait()
	arrived, _ := s.runs()
	lost := 0
	for _, o := range outcomes {
		cut := strings.Contains(o.output, "closing transport") || strings.Contains(o.output, "connection reset") || strings.Contains(o.output, "error reading from server")
		verdict := ""
		// Requests that a server had are left out: it may still have been at work in the
		// last sixth of the grace.
		if cut && arrived[o.id] == 0 && o.endedAt.Sub(o.sentAt) > lossSlack && o.sentAt.Before(signalAt) {
			verdict = " LOST"
			lost++
		}
		rec.add("caller: %s sent %.3f s before and ended %.3f s after the signal: %v; reached a server: %v; %s%s",
			o.id, signalAt.Sub(o.sentAt).Seconds(), o.endedAt.Sub(signalAt).Seconds(), o.err, arrived[o.id] > 0, o.output, verdict)
	}
	code, verdict := held, "held"
	if lost > 0 {
		code, verdict = broken, fmt.Sprintf("LOST broken: %d requests that no server had ended without an answer", lost)
	}
	fmt.Println(verdict)
	if err := rec.write(verdict); err != nil {
		fatal(err)
	}
	return code
}
