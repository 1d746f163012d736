package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

const (
	// instanceMemory is the memory of an instance in MiB, that of the smallest machine.
	instanceMemory = 284
	// largeReplyBytes is the body of a complete reply that is large.
	largeReplyBytes = 12 << 20
	// deafCallerCount is the number of callers that do not read their replies, and
	// deafPause how long they wait until they close their connection.
	deafCallerCount = 40
	deafPause       = 3 * time.Second
	// memoryCheckInterval is the time between two checks of the memory of an instance.
	memoryCheckInterval = 200 * time.Millisecond
)

// endlessReplies are forms of replies that do not end: a beginning, and what is sent again
// and again after it.
var endlessReplies = []struct{ begin, repeat string }{
	{"HTTP/1.1 200 ", "x"},
	{"HTTP/1.1 200 OK\r\nX: ", "x"},
	{"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	{"", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"", "\x00"},
	{"HTTP/1.1 200 OK\r\n%s\r\n", "x"},
	{"HTTP/1.1 200 OK\r\n%sContent-Length: 99999999999\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
}

// sendWithoutEnd sends a reply without end, or a large one, until the caller closes the
// connection.
func (s *server) sendWithoutEnd(w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.ledger.addFinding("take over a connection: %v", err)
		return
	}
	defer c.Close()
	head := fmt.Sprintf("%s: %s\r\n", standin.RequestIDHeader, id)
	n := rand.IntN(len(endlessReplies) + 1)
	if n == len(endlessReplies) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, largeReplyBytes, strings.Repeat("x", largeReplyBytes))
		return
	}
	form := endlessReplies[n]
	text := form.begin
	if strings.Contains(text, "%s") {
		text = fmt.Sprintf(text, head)
	}
	block := strings.Repeat(form.repeat, 1+(16<<10)/len(form.repeat))
	for err == nil {
		_, err = c.Write([]byte(text))
		text = block
	}
}

// sendUnread sends requests whose replies it does not read.
func (s *soak) sendUnread(number int, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		i := s.pickReadyInstance()
		if i == nil {
			time.Sleep(deafPause)
			continue
		}
		c, err := net.Dial("tcp", i.httpAddress)
		if err != nil {
			continue
		}
		fmt.Fprintf(c, "GET /all/x HTTP/1.1\r\nHost: soak\r\n%s: d%d-%d\r\n%s: %d\r\n\r\n", standin.RequestIDHeader, number, n, standin.DeadlineHeader, requestTimeout.Milliseconds())
		fmt.Fprintf(c, "POST /one/x HTTP/1.1\r\nHost: soak\r\n%s: e%d-%d\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", standin.RequestIDHeader, number, n, standin.DeadlineHeader, requestTimeout.Milliseconds())
		time.Sleep(deafPause)
		c.Close()
	}
}

// watchMemory checks until the end of the run that an instance stays within its memory.
func (s *soak) watchMemory(i *instance, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(memoryCheckInterval)
		used, err := i.peakMemory()
		if err != nil {
			// The process has just ended.
			continue
		}
		if used > s.ledger.peakMemory.Load() {
			s.ledger.peakMemory.Store(used)
		}
		if used > instanceMemory {
			s.ledger.addFinding("%s takes %d MiB of %d", i.name, used, instanceMemory)
			return
		}
	}
}

// peakMemory returns the largest resident memory of the process so far, in MiB.
func (i *instance) peakMemory() (int64, error) {
	i.mu.Lock()
	pid := i.process.Pid
	i.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kib >> 10, err
		}
	}
	return 0, fmt.Errorf("status of process %d has no VmHWM", pid)
}
