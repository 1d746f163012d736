package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

// grace is the time from SIGTERM to the end of an instance.
const grace = 4 * time.Second

// instance is one lentilward process, started again after it ends.
type instance struct {
	name, zone      string
	http, readiness string
	peers, monitor  string
	store           *proxy
	// restarting is set from the end of a process until the next one is started.
	restarting atomic.Bool

	mu      sync.Mutex
	process *os.Process
	// harmed is when it was last killed or stood still: callers may be cut then.
	harmed time.Time
	ended  chan struct{}
}

// free returns an address that nothing listens at.
func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newInstance(name, zone, store string) (*instance, error) {
	i := &instance{name: name, zone: zone}
	for _, a := range []*string{&i.http, &i.readiness, &i.peers, &i.monitor} {
		address, err := free()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	var err error
	i.store, err = newProxy(store)
	return i, err
}

// settings writes the settings file.
func (i *instance) settings(folder string, peers string) (string, error) {
	path := filepath.Join(folder, i.name+".toml")
	text := fmt.Sprintf("name = %q\ndata-centre = %q\npeers = [%s]\n[listen]\nhttp = %q\nreadiness = %q\npeers = %q\nmonitor = %q\n[store]\naddress = %q\n[stop]\ngrace = %q\n",
		i.name, i.zone, peers, i.http, i.readiness, i.peers, i.monitor, i.store.address, grace.String())
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start runs the process; it does not wait until it is ready.
func (i *instance) start(program, settings, folder string) error {
	out, err := os.OpenFile(filepath.Join(folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(program, "run", "--settings", settings)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.process, i.ended = c.Process, ended
	i.mu.Unlock()
	go func() {
		c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process and returns what tells its end. Harm
// excuses requests that are cut.
func (i *instance) signal(s syscall.Signal, harm bool) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if harm {
		i.harmed = time.Now()
	}
	i.process.Signal(s)
	return i.ended
}

// harmedSince tells whether the process was killed or stood still lately.
func (i *instance) harmedSince(t time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.harmed.After(t.Add(-2 * time.Second))
}

// ready asks what the balancer asks.
func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + i.readiness + standin.ReadinessPath)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
