package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

const (
	// requestTimeout is the deadline of a request and the timeout of both routes.
	requestTimeout = 1500 * time.Millisecond
	// targetLatency is the target latency of both routes.
	targetLatency = 300 * time.Millisecond
	// maxRecords and minCoverage are settings of the search route.
	maxRecords  = 6
	minCoverage = 0.6
)

// sendRequests sends requests to ready instances, one after another, until the end
// of the run: one in four is non-idempotent, one in four asks for the route of a version, the
// others are searches.
func (s *soak) sendRequests(number int, until time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2 * requestTimeout}
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		i := s.pickReadyInstance()
		if i == nil {
			continue
		}
		id := fmt.Sprintf("c%d-%d", number, n)
		switch rand.IntN(4) {
		case 0:
			s.sendNonIdempotent(i, id)
		case 1:
			s.sendToVersion(client, i, id)
		default:
			s.sendSearch(client, i, id)
		}
	}
}

func (s *soak) newRequest(method, path, id string, i *instance) *http.Request {
	r, err := http.NewRequest(method, "http://"+i.httpAddress+path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = "soak"
	r.Header.Set(standin.RequestIDHeader, id)
	r.Header.Set(standin.DeadlineHeader, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	return r
}

// newKeyedRequest returns a request to a route that needs a key.
func (s *soak) newKeyedRequest(method, path, id string, i *instance) *http.Request {
	r := s.newRequest(method, path, id, i)
	if s.withKeys {
		s.setKey(r, id, i)
	}
	return r
}

// sendNonIdempotent sends a non-idempotent request on a new connection and checks the
// reply.
func (s *soak) sendNonIdempotent(i *instance, id string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * requestTimeout}
	begin := time.Now()
	r, err := client.Do(s.newKeyedRequest(http.MethodPost, "/one/"+id, id, i))
	if err != nil {
		s.recordLostReply(i, id, begin, err)
		return
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		s.recordLostReply(i, id, begin, err)
	case r.StatusCode == http.StatusOK:
		s.ledger.answered.Add(1)
		if string(body) != records("s1", id) {
			s.ledger.addFinding("request %s: reply body %q is not the result of the request", id, body)
		}
	case r.StatusCode == http.StatusServiceUnavailable:
		s.ledger.refused.Add(1)
		s.ledger.recordNotRun(id)
	case r.StatusCode == http.StatusNotFound:
		s.ledger.addFinding("request %s: status 404 although the route is configured", id)
	default:
		s.recordFailure(id, r.StatusCode)
	}
}

func (s *soak) sendSearch(client *http.Client, i *instance, id string) {
	begin := time.Now()
	r, err := client.Do(s.newKeyedRequest(http.MethodGet, "/all/x?"+id, id, i))
	if err != nil {
		s.recordLostReply(i, id, begin, err)
		return
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		s.recordLostReply(i, id, begin, err)
	case r.StatusCode == http.StatusOK:
		s.ledger.answered.Add(1)
		s.checkSearchReply(id, r.Header, string(body))
	case r.StatusCode == http.StatusNotFound:
		s.ledger.addFinding("search %s: status 404 although the route is configured", id)
	default:
		s.recordFailure(id, r.StatusCode)
	}
	if took := time.Since(begin); took > requestTimeout+time.Second && !i.wasDisruptedSince(begin) {
		s.ledger.addFinding("search %s to %s took %v and ended at %s; the deadline was exceeded", id, i.name, took, time.Now().Format(time.TimeOnly+".000"))
	}
}

// recordFailure counts a request that was answered as failed. A status that no answer can
// have is a finding.
func (s *soak) recordFailure(id string, status int) {
	s.ledger.failed.Add(1)
	if status < http.StatusOK || status > 599 {
		s.ledger.addFinding("request %s: answered with status %03d", id, status)
	}
}

// recordLostReply counts a request whose reply was lost as failed. It is a finding
// unless the instance was killed or paused, or no connection was established.
func (s *soak) recordLostReply(i *instance, id string, begin time.Time, err error) {
	s.ledger.failed.Add(1)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || i.wasDisruptedSince(begin) {
		return
	}
	s.ledger.addFinding("request %s to %s: reply lost after %v: %v", id, i.name, time.Since(begin), err)
}

// checkSearchReply checks that the reply to a search has exactly the best records
// of the shards named in its proofs, and that these shards belong to one
// configuration.
func (s *soak) checkSearchReply(id string, header http.Header, body string) {
	missing, err := strconv.Atoi(header.Get(standin.MissingPartsHeader))
	if err != nil {
		s.ledger.addFinding("search %s: header of missing shards is %q, want a number", id, header.Get(standin.MissingPartsHeader))
		return
	}
	var services, expected []string
	for _, proof := range strings.Split(header.Get(standin.PartProofsHeader), ",") {
		service, request, _ := strings.Cut(strings.TrimSpace(proof), ".")
		if request != id || slices.Contains(services, service) {
			s.ledger.addFinding("search %s: proof %q is of another request or a duplicate", id, proof)
			return
		}
		services = append(services, service)
		for r := records(service, id); r != ""; r = r[recordBytes:] {
			expected = append(expected, r[:recordBytes])
		}
	}
	slices.Sort(expected)
	slices.Reverse(expected)
	if want := strings.Join(expected[:min(maxRecords, len(expected))], ""); body != want {
		s.ledger.addFinding("search %s: records %q, want %q", id, body, want)
	}
	for _, set := range shardSets {
		countsMatch := len(services)+missing == len(set) && float64(len(services)) >= minCoverage*float64(len(set))
		if countsMatch && !slices.ContainsFunc(services, func(service string) bool { return !slices.Contains(set, service) }) {
			return
		}
	}
	s.ledger.addFinding("search %s: shards %v and %d missing ones match no configuration", id, services, missing)
}
