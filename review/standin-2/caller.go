package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// attempt is one attempt of a request, with its answer.
type attempt struct {
	id         string
	sentAt     time.Time
	instance   string
	status     int
	stamp      string
	body       []byte
	err        error
	retryAfter time.Duration
}

// served reports whether the attempt was answered with success and a whole body.
func (a *attempt) served() bool {
	return a.err == nil && a.status >= 200 && a.status < 300 && a.stamp != ""
}

// caller sends requests over a connection that it keeps open. An open connection stays with
// its instance.
type caller struct {
	site     *site
	number   int
	instance *instance
	conn     net.Conn
	reader   *bufio.Reader
}

func (s *site) newCaller(number int) *caller { return &caller{site: s, number: number} }

// connect opens a connection to an instance, unless the open one can be used again.
func (c *caller) connect(i *instance, fresh bool) error {
	if c.conn != nil && !fresh && c.isOpen() {
		return nil
	}
	c.close()
	conn, err := net.DialTimeout("tcp", i.http, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.instance = conn, bufio.NewReader(conn), i
	return nil
}

// isOpen reports whether the idle connection is open.
func (c *caller) isOpen() bool {
	c.conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := c.reader.Peek(1)
	c.conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.instance = nil, nil
}

// requestSpec describes the requests of one kind.
type requestSpec struct {
	method, host, target string
	body                 []byte
	header               map[string]string
	deadline             time.Duration
	retries              int
}

// send sends a request, and again after a failure on a new connection. It returns the
// attempts.
func (c *caller) send(spec requestSpec) []*attempt {
	var attempts []*attempt
	deadline := time.Now().Add(spec.deadline)
	hash := c.number
	for n := range spec.retries + 1 {
		left := time.Until(deadline)
		if left < 20*time.Millisecond {
			break
		}
		a := c.try(spec, c.site.entry(hash), left, n > 0)
		attempts = append(attempts, a)
		if a.err == nil && (a.status < 300 || a.status == 400 || a.status == 401 || a.status == 404 || a.status == 413 || a.status == 431) {
			break
		}
		time.Sleep(min(a.retryAfter, time.Until(deadline)/3))
		hash = rand.IntN(1 << 20)
	}
	return attempts
}

func (c *caller) try(spec requestSpec, i *instance, left time.Duration, fresh bool) *attempt {
	return c.tryUntil(spec, i, left, left, fresh)
}

// tryUntil sends a request to an instance with the time left until its deadline, and closes
// the connection after a time without an answer.
func (c *caller) tryUntil(spec requestSpec, i *instance, left, leave time.Duration, fresh bool) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), sentAt: time.Now(), instance: i.name}
	if a.err = c.connect(i, fresh); a.err != nil {
		c.site.record.note("connecting to %s failed: %v", i.name, a.err)
		return a
	}
	a.instance = c.instance.name
	a.err = c.exchange(spec, a, left, min(left, leave))
	if a.err != nil {
		c.close()
		c.site.record.note("answered %s error %v", a.id, a.err)
	} else if a.served() {
		c.site.record.note("answered %s %d stamp %s", a.id, a.status, a.stamp)
	} else {
		c.site.record.note("answered %s %d %q", a.id, a.status, bytes.TrimSpace(a.body))
	}
	return a
}

// exchange sends a request and reads the answer until the caller leaves.
func (c *caller) exchange(spec requestSpec, a *attempt, left, leave time.Duration) error {
	r, err := http.NewRequest(spec.method, "http://"+spec.host+spec.target, bytes.NewReader(spec.body))
	if err != nil {
		return err
	}
	r.Header.Set("request-id", a.id)
	r.Header.Set("deadline-milliseconds", strconv.FormatInt(left.Milliseconds(), 10))
	for name, value := range spec.header {
		r.Header.Set(name, value)
	}
	if err := c.conn.SetDeadline(a.sentAt.Add(leave)); err != nil {
		return err
	}
	c.site.record.note("sent %s %s %s to %s", a.id, spec.method, spec.target, a.instance)
	if err := r.Write(c.conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if a.body, err = io.ReadAll(response.Body); err != nil {
		return err
	}
	a.status, a.stamp = response.StatusCode, response.Header.Get("server-stamp")
	if seconds, err := strconv.ParseFloat(response.Header.Get("retry-after"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.Close {
		c.close()
	}
	return nil
}

// sentRequest is a request with its attempts and when it was sent.
type sentRequest struct {
	at       time.Duration
	label    string
	attempts []*attempt
}

func (r *sentRequest) served() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].served()
}

// traffic sends requests at a rate from a number of callers until the time is over. next
// returns the next request with a label. Times count from the start of the traffic.
func (s *site) traffic(callers int, perSecond float64, length time.Duration, next func(n int) (string, requestSpec)) []*sentRequest {
	var mu sync.Mutex
	var sent []*sentRequest
	var pending sync.WaitGroup
	idle := make(chan *caller, 4096)
	for n := range callers {
		idle <- s.newCaller(n)
	}
	started := time.Now()
	for n := 0; time.Since(started) < length; n++ {
		if wait := time.Duration(float64(n)/perSecond*float64(time.Second)) - time.Since(started); wait > 0 {
			time.Sleep(wait)
		}
		var c *caller
		select {
		case c = <-idle:
		default:
			c = s.newCaller(rand.IntN(1 << 20))
		}
		label, spec := next(n)
		r := &sentRequest{at: time.Since(started), label: label}
		pending.Go(func() {
			r.attempts = c.send(spec)
			select {
			case idle <- c:
			default:
			}
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, r)
		})
	}
	pending.Wait()
	return sent
}

// servedShare returns how many of the requests that were sent between two times were sent,
// and how many were served.
func servedShare(sent []*sentRequest, label string, from, to time.Duration) (requests, served int) {
	for _, r := range sent {
		if r.at < from || r.at >= to || label != "" && r.label != label {
			continue
		}
		requests++
		if r.served() {
			served++
		}
	}
	return requests, served
}
