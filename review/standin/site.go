package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

// host is the host of all routes.
const host = "review.example"

// Prefixes of the two routes: a search over the shards, and requests that may run once.
const (
	searchPrefix = "/search/"
	singlePrefix = "/single/"
)

// site is a small deployment on loopback addresses: a store, backend servers and
// instances of the program that the deploy file builds.
type site struct {
	folder    string
	store     string
	instances []*instance
	record    *record
}

// instance is one process of the program.
type instance struct {
	name, zone                     string
	http, readiness, peer, monitor string
	process                        *os.Process
	exited                         chan struct{}
	exitedAt                       time.Time
	exitState                      string
}

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	begin time.Time
	lines bytes.Buffer
}

func newRecord() *record { return &record{begin: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.lines, "%9.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(&r.lines, format+"\n", args...)
}

// write writes the record, with the verdict as its first line.
func (r *record) write(verdict string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	return os.WriteFile(path, append([]byte(verdict+"\n"), r.lines.Bytes()...), 0o644)
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newSite(rec *record) *site {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	go http.Serve(l, standin.New(1).Handler())
	return &site{folder: folder, store: l.Addr().String(), record: rec}
}

// put writes keys to the store as the operator and the backend servers do.
func (s *site) put(key string, value []byte) {
	type write struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	body, _ := json.Marshal(map[string]any{"expect": []any{}, "writes": []write{{key, value}}, "deletes": []string{}})
	response, err := http.Post(fmt.Sprintf("http://%s/v1/kv-txn", s.store), "application/json", bytes.NewReader(body))
	if err != nil {
		fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		fatal(fmt.Errorf("store answered %d", response.StatusCode))
	}
}

// addInstances reserves addresses for n instances and writes their settings, with the
// values of a small deployment.
func (s *site) addInstances(n int) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range n {
		s.instances = append(s.instances, &instance{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)],
			http: freeAddress(), readiness: freeAddress(), peer: freeAddress(), monitor: freeAddress(),
		})
	}
	seeds, _ := json.Marshal(func() (list []string) {
		for _, i := range s.instances[:min(3, n)] {
			list = append(list, i.peer)
		}
		return list
	}())
	for _, i := range s.instances {
		text := fmt.Sprintf(`name = %q
data-centre = %q
peers = %s
memory-mib = 414
drain = "3000ms"
apply = "3000ms"
[listen]
http = %q
readiness = %q
peers = %q
monitor = %q
[store]
address = %q
[repeats]
ratio = 0.2
slack = 56
window = "10s"
[stop]
grace = "6s"
[log]
format = "text"
level = "info"
`, i.name, i.zone, seeds, i.http, i.readiness, i.peer, i.monitor, s.store)
		if err := os.WriteFile(filepath.Join(s.folder, i.name+".toml"), []byte(text), 0o600); err != nil {
			fatal(err)
		}
	}
}

// start starts an instance.
func (s *site) start(i *instance) {
	program := os.Getenv("PROGRAM")
	if program == "" {
		program = "target/lentilward"
	}
	logFile, err := os.OpenFile(filepath.Join(s.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	defer logFile.Close()
	c := exec.Command(program, "run")
	c.Env = append(os.Environ(), "LENTILWARD_NODE_FILE="+filepath.Join(s.folder, i.name+".toml"))
	c.Stdout, c.Stderr = logFile, logFile
	if err := c.Start(); err != nil {
		fatal(err)
	}
	i.process, i.exited = c.Process, make(chan struct{})
	exited := i.exited
	go func() {
		c.Wait()
		i.exitedAt, i.exitState = time.Now(), c.ProcessState.String()
		close(exited)
	}()
}

// awaitReady waits until an instance reports itself ready.
func (s *site) awaitReady(i *instance, timeout time.Duration) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := client.Get("http://" + i.readiness + standin.ReadinessPath); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	s.close()
	fatal(fmt.Errorf("instance %s is not ready", i.name))
}

// close ends all processes that were started. It keeps the logs if KEEP is set.
func (s *site) close() {
	for _, i := range s.instances {
		if i.process == nil {
			continue
		}
		select {
		case <-i.exited:
		default:
			i.process.Signal(syscall.SIGKILL)
			<-i.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.folder)
	}
}

// fatal ends a run that could not take place.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}
