package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *bufio.Writer
	close   func() error
	started time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// site is a small deployment: a store, servers and instances on loopback addresses.
type site struct {
	record    *record
	trouble   bool
	folder    string
	program   string
	store     *store
	instances []*instance
	leafs     []*leafProcess

	mu   sync.Mutex
	runs map[string][]run
}

// run is the run of a request on a server.
type run struct {
	server string
	at     time.Time
}

func newSite(recordFile string) (*site, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	r := &record{file: bufio.NewWriter(f), started: time.Now()}
	r.close = func() error { return errors.Join(r.file.Flush(), f.Close()) }
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/lentilward")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	s := &site{
		record: r, trouble: os.Getenv("TROUBLE") != "0", folder: folder, program: program, store: st, runs: map[string][]run{},
	}
	r.note("trouble: %v", s.trouble)
	return s, nil
}

// close ends all processes that the case has started.
func (s *site) close() {
	for _, i := range s.instances {
		i.kill()
	}
	for _, l := range s.leafs {
		l.kill()
	}
	os.RemoveAll(s.folder)
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	s.record.close()
}

// firstPort and lastPort bound the ports that are used: below those that the system gives to
// outgoing connections.
const firstPort, lastPort = 10_000, 30_000

// usedAddresses has the addresses that freeAddress has returned.
var usedAddresses sync.Map

// freeAddress returns a loopback address with a port that is free.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, used := usedAddresses.LoadOrStore(address, true); used {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// instance is one machine with its process.
type instance struct {
	site                            *site
	name, zone                      string
	http, readiness, peers, monitor string
	settings                        string

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	misses   int
	rotation bool
}

// deployment describes the instances of a site.
type deployment struct {
	zones    []string
	memoryMB []int
	// bounds replaces the bounds of the settings; empty for those of the sites in sites/.
	bounds string
}

// defaultBounds are the bounds of the sites in sites/, as deploy/settings.toml states them.
const defaultBounds = `[repeats]
ratio = 0.2
slack = 52
window = "10s"
[stop]
grace = "6s"
`

// startInstances starts one instance for each zone named, and the readiness checks.
func (s *site) startInstances(d deployment) error {
	for n, zone := range d.zones {
		s.instances = append(s.instances, &instance{
			site: s, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, http: freeAddress(), readiness: freeAddress(), peers: freeAddress(), monitor: freeAddress(),
		})
	}
	bounds, period := defaultBounds, 3000
	if d.bounds != "" {
		bounds, period = d.bounds, 5000
	}
	var seeds []string
	for _, i := range s.instances[:min(3, len(s.instances))] {
		seeds = append(seeds, `"`+i.peers+`"`)
	}
	for n, i := range s.instances {
		i.settings = filepath.Join(s.folder, i.name+".toml")
		// As deploy/settings.toml, filled in with the bounds of the site.
		text := fmt.Sprintf(`name = "%s"
data-centre = "%s"
peers = [%s]
memory-mib = %d
cpu-share = 0.8
drain = "%dms"
apply = "%dms"
[listen]
http = "%s"
readiness = "%s"
peers = "%s"
monitor = "%s"
[store]
address = "%s"
%s[log]
format = "text"
level = "info"
`, i.name, i.zone, strings.Join(seeds, ","), d.memoryMB[n], period, period, i.http, i.readiness, i.peers, i.monitor, s.store.address(), bounds)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
		go i.checkReadiness()
	}
	return nil
}

// start starts the process of the instance, with the command of the deploy file.
func (i *instance) start() error {
	c := exec.Command(i.site.program, "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.site.folder, "LENTILWARD_NODE_FILE=" + i.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	c.Stderr = c.Stdout
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.process, i.ended = c, ended
	i.mu.Unlock()
	i.site.record.note("%s starts", i.name)
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if text := lines.Text(); !strings.Contains(text, "level=INFO msg=request ") {
				i.site.record.note("%s says %s", i.name, text)
			}
		}
		i.site.record.note("%s has ended: %v", i.name, c.Wait())
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of the instance.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		i.site.record.note("%v to %s", sig, i.name)
		i.process.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	if i.ended != nil {
		<-i.ended
	}
}

// checkReadiness asks the instance each second whether it is ready, as the platform does:
// two misses take it out of rotation, one 200 puts it back.
func (i *instance) checkReadiness() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		response, err := client.Get("http://" + i.readiness + wire["readiness"])
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		i.mu.Lock()
		if ok {
			i.misses, i.rotation = 0, true
		} else if i.misses++; i.misses >= 2 {
			i.rotation = false
		}
		i.mu.Unlock()
	}
}

// entry returns the instance to which the platform forwards a new connection of a caller.
func (s *site) entry(hash int) *instance {
	var in []*instance
	for _, i := range s.instances {
		i.mu.Lock()
		if i.rotation {
			in = append(in, i)
		}
		i.mu.Unlock()
	}
	if len(in) == 0 {
		in = s.instances
	}
	return in[hash%len(in)]
}

// awaitRotation waits until all instances are in rotation.
func (s *site) awaitRotation(most time.Duration) error {
	for deadline := time.Now().Add(most); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, i := range s.instances {
			i.mu.Lock()
			if i.rotation {
				n++
			}
			i.mu.Unlock()
		}
		if n == len(s.instances) {
			return nil
		}
	}
	return errors.New("not all instances became ready")
}

// leafProcess is the process of a server.
type leafProcess struct {
	site     *site
	settings leafSettings
	command  *exec.Cmd
	input    io.Closer
	ended    chan struct{}
	// endedAt is when the process ended; it is set before ended is closed.
	endedAt time.Time
}

// startLeaf starts a server process.
func (s *site) startLeaf(settings leafSettings) (*leafProcess, error) {
	settings.Store = s.store.address()
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	l := &leafProcess{site: s, settings: settings, command: exec.Command(self, "server", string(data)), ended: make(chan struct{})}
	l.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := l.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if l.input, err = l.command.StdinPipe(); err != nil {
		return nil, err
	}
	l.command.Stderr = os.Stderr
	if err := l.command.Start(); err != nil {
		return nil, err
	}
	s.record.note("server %s of %s starts at %s", settings.ID, settings.Service, settings.Address)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			s.noteRun(lines.Text())
		}
		l.command.Wait()
		l.endedAt = time.Now()
		close(l.ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leafs = append(s.leafs, l)
	return l, nil
}

// noteRun records a line of a server: run REQUEST SERVER METHOD TARGET.
func (s *site) noteRun(line string) {
	s.record.note("%s", line)
	fields := strings.Fields(line)
	if len(fields) < 3 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[fields[1]] = append(s.runs[fields[1]], run{fields[2], time.Now()})
}

// kill kills the server and waits for its end.
func (l *leafProcess) kill() {
	l.command.Process.Kill()
	<-l.ended
}
