package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"
)

const (
	// revertSlack is how long after a request was handled by a version an older one may
	// still handle another; disturbedRevertSlack holds for an instance that was disturbed.
	revertSlack          = 250 * time.Millisecond
	disturbedRevertSlack = 2 * time.Second
)

// sendToVersion sends a request to the route that a recent version of the configuration has
// added, and checks that the instance knows this route as soon as it must, and from its first
// use on.
func (s *soak) sendToVersion(client *http.Client, i *instance, id string) {
	process := i.currentProcess()
	begin := time.Now()
	required, newest := s.operator.requiredAt(begin)
	version := newest
	if required > 0 {
		between := required + versionStep*rand.IntN(1+(newest-required)/versionStep)
		version = []int{required, between, newest}[rand.IntN(3)]
	}
	r, err := client.Do(s.newRequest(http.MethodGet, versionPrefix(version)+"x", id, i))
	if err != nil {
		s.recordLostReply(i, id, begin, err)
		return
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.recordLostReply(i, id, begin, err)
		return
	}
	inTouch := s.storeCalm.heldSince(begin.Add(-stableWindow)) && i.heldSince(begin.Add(-stableWindow))
	if inTouch && version <= required {
		s.ledger.judged.Add(1)
	}
	switch {
	case r.StatusCode == http.StatusOK:
		s.ledger.answered.Add(1)
		i.noteServed(process, version)
		if string(body) != records(versionService(version), id) {
			s.ledger.addFinding("request %s to %s: reply body %q is not that of version %d", id, i.name, body, version)
		}
	case r.StatusCode != http.StatusNotFound:
		s.recordFailure(id, r.StatusCode)
	default:
		if inTouch && version <= required {
			s.ledger.addFinding("request %s to %s at %s: version %d is not in force %v after its acknowledgement",
				id, i.name, begin.Format(time.TimeOnly+".000"), version, maxDrainDelay)
		}
		slack := revertSlack
		if !i.heldSince(begin.Add(-stableWindow)) {
			slack = disturbedRevertSlack
		}
		if served := i.servedBefore(process, begin.Add(-slack)); served >= version {
			s.ledger.addFinding("request %s to %s at %s: version %d is not in force although one was handled by version %d",
				id, i.name, begin.Format(time.TimeOnly+".000"), version, served)
		}
	}
}

func (i *instance) currentProcess() *os.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// noteServed records that a process has handled a request by a version or a newer one.
func (i *instance) noteServed(process *os.Process, version int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == process && (len(i.served) == 0 || version > i.served[len(i.served)-1].version) {
		i.served = append(i.served, ack{version, time.Now()})
	}
}

// servedBefore returns the newest version by which a process has handled a request before a
// time, 0 if there is none or if the process has been replaced.
func (i *instance) servedBefore(process *os.Process, t time.Time) (version int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, a := range i.served {
		if i.process == process && a.at.Before(t) {
			version = a.version
		}
	}
	return version
}
