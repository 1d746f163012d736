package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
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

// gracePeriod is the time that an instance has to stop after SIGTERM.
const gracePeriod = 4 * time.Second

// instance is a lentilward process and those that replace it after restarts.
type instance struct {
	name, dataCentre              string
	httpAddress, readinessAddress string
	peerAddress, monitorAddress   string
	// reserved keeps the ports of the addresses from others until the first start.
	reserved   []net.Listener
	storeProxy *proxy
	// calm is disturbed by starts, faults of the process and of its links.
	calm
	// restarting is set from the signal that stops the process until the next one is
	// started.
	restarting atomic.Bool
	// onEnd is called when the process has ended by itself.
	onEnd func(error)

	mu      sync.Mutex
	process *os.Process
	// disruptedAt is when the process was last killed, paused or resumed; callers may
	// lose replies around that time.
	disruptedAt time.Time
	exited      chan struct{}
	startedAt   time.Time
	// served are the versions by which the process has handled requests, rising.
	served []ack
}

// Instances listen on ports below those that the kernel gives to outgoing connections, one of
// which could take the port of an instance while that is restarted.
const (
	minListenPort = 10_000
	maxListenPort = 32_000
)

// listenAnywhere listens on a loopback address with an unused port.
func listenAnywhere() (net.Listener, error) {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", minListenPort+rand.IntN(maxListenPort-minListenPort)))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
	}
}

func newInstance(name, dataCentre, storeAddress string) (*instance, error) {
	i := &instance{name: name, dataCentre: dataCentre}
	for _, a := range []*string{&i.httpAddress, &i.readinessAddress, &i.peerAddress, &i.monitorAddress} {
		l, err := listenAnywhere()
		if err != nil {
			return nil, err
		}
		*a, i.reserved = l.Addr().String(), append(i.reserved, l)
	}
	var err error
	i.storeProxy, err = newProxy(storeAddress)
	return i, err
}

// writeSettings writes the instance's settings file, with extra at its end, and returns its path.
func (i *instance) writeSettings(folder, peers, extra string) (string, error) {
	path := filepath.Join(folder, i.name+".toml")
	text := fmt.Sprintf("name = %q\ndata-centre = %q\npeers = [%s]\nmemory-mib = %d\n[listen]\nhttp = %q\nreadiness = %q\npeers = %q\nmonitor = %q\n[store]\naddress = %q\n[stop]\ngrace = %q\n",
		i.name, i.dataCentre, peers, instanceMemory, i.httpAddress, i.readinessAddress, i.peerAddress, i.monitorAddress, i.storeProxy.address, gracePeriod.String()) + extra
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process and does not wait until it is ready.
func (i *instance) start(program, settings, folder string) error {
	logFile, err := os.OpenFile(filepath.Join(folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	for _, l := range i.reserved {
		l.Close()
	}
	i.reserved = nil
	c := exec.Command(program, "run", "--settings", settings)
	c.Stdout, c.Stderr = logFile, logFile
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.process, i.exited, i.startedAt, i.served = c.Process, exited, time.Now(), nil
	i.disturb(0)
	i.mu.Unlock()
	go func() {
		if err := c.Wait(); !i.restarting.Load() {
			i.onEnd(err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when
// the process has exited. If the signal is disruptive, lost replies around this
// time are not findings.
func (i *instance) signal(s syscall.Signal, disruptive bool) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if disruptive {
		i.disruptedAt = time.Now()
		i.disturb(0)
	}
	i.process.Signal(s)
	return i.exited
}

// wasDisruptedSince reports whether the process was killed, paused or resumed later
// than 2 s before the given time.
func (i *instance) wasDisruptedSince(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.disruptedAt.After(since.Add(-2 * time.Second))
}

// heldSince reports whether the instance was undisturbed at a time and later.
func (i *instance) heldSince(t time.Time) bool { return !i.restarting.Load() && i.calm.heldSince(t) }

// isReady reports whether the instance answers the load balancer's readiness poll
// within 1 s.
func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + i.readinessAddress + standin.ReadinessPath)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
