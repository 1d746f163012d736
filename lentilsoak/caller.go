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
	// patience is how long a caller waits.
	patience = 1500 * time.Millisecond
	// objective is that of both routes.
	objective = 300 * time.Millisecond
	// results and leastShare are those of the search route.
	results    = 6
	leastShare = 0.6
)

// call sends requests until the time is over.
func (s *soak) call(number int, until time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2 * patience}
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		i := s.rotation()
		if i == nil {
			continue
		}
		id := fmt.Sprintf("c%d-%d", number, n)
		if rand.IntN(4) == 0 {
			s.single(i, id)
		} else {
			s.search(client, i, id)
		}
	}
}

func (s *soak) request(method, path, id string, i *instance) *http.Request {
	r, err := http.NewRequest(method, "http://"+i.http+path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = "soak"
	r.Header.Set(standin.RequestIDHeader, id)
	r.Header.Set(standin.DeadlineHeader, strconv.FormatInt(patience.Milliseconds(), 10))
	return r
}

// single sends a non-idempotent request on a connection of its own.
func (s *soak) single(i *instance, id string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * patience}
	begin := time.Now()
	r, err := client.Do(s.request(http.MethodPost, "/one/x", id, i))
	if err != nil {
		s.lost(i, id, begin, err)
		return
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		s.lost(i, id, begin, err)
	case r.StatusCode == http.StatusOK:
		s.ledger.answered.Add(1)
		if string(body) != records("s1", id) {
			s.ledger.find("request %s got another body: %q", id, body)
		}
	case r.StatusCode == http.StatusServiceUnavailable:
		s.ledger.refused.Add(1)
		s.ledger.told(id)
	case r.StatusCode == http.StatusNotFound:
		s.ledger.find("request %s was answered 404", id)
	default:
		s.ledger.failed.Add(1)
	}
}

func (s *soak) search(client *http.Client, i *instance, id string) {
	begin := time.Now()
	r, err := client.Do(s.request(http.MethodGet, "/all/x?y", id, i))
	if err != nil {
		s.lost(i, id, begin, err)
		return
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		s.lost(i, id, begin, err)
	case r.StatusCode == http.StatusOK:
		s.ledger.answered.Add(1)
		s.check(id, r.Header, string(body))
	case r.StatusCode == http.StatusNotFound:
		s.ledger.find("search %s was answered 404", id)
	default:
		s.ledger.failed.Add(1)
	}
	if took := time.Since(begin); took > patience+time.Second && !i.harmedSince(begin) {
		s.ledger.find("search %s to %s took %v, until %s", id, i.name, took, time.Now().Format(time.TimeOnly+".000"))
	}
}

// lost notes a request without an answer. It is a finding unless the instance
// was killed or stood still, or could not be reached at all.
func (s *soak) lost(i *instance, id string, begin time.Time, err error) {
	s.ledger.failed.Add(1)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || i.harmedSince(begin) {
		return
	}
	s.ledger.find("request %s to %s was cut after %v: %v", id, i.name, time.Since(begin), err)
}

// check compares the answer to a search with what its parts have.
func (s *soak) check(id string, header http.Header, body string) {
	missing, err := strconv.Atoi(header.Get(standin.MissingPartsHeader))
	if err != nil {
		s.ledger.find("search %s: missing parts %q", id, header.Get(standin.MissingPartsHeader))
		return
	}
	var services, all []string
	for _, proof := range strings.Split(header.Get(standin.ReceiptsHeader), ",") {
		service, request, _ := strings.Cut(strings.TrimSpace(proof), ".")
		if request != id || slices.Contains(services, service) {
			s.ledger.find("search %s: proof %q", id, proof)
			return
		}
		services = append(services, service)
		for r := records(service, id); r != ""; r = r[recordSize:] {
			all = append(all, r[:recordSize])
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	if want := strings.Join(all[:min(results, len(all))], ""); body != want {
		s.ledger.find("search %s: records %q, want %q", id, body, want)
	}
	for _, set := range versions {
		whole := len(services)+missing == len(set) && float64(len(services)) >= leastShare*float64(len(set))
		if whole && !slices.ContainsFunc(services, func(x string) bool { return !slices.Contains(set, x) }) {
			return
		}
	}
	s.ledger.find("search %s: parts %v and %d missing are of no version", id, services, missing)
}
