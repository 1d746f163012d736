package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilward.org/lentilload/stand"
)

const (
	// platformGrace is when the platform kills a process that it has stopped, and
	// instanceGrace the setting of the instance, which ends 0.5 s after it at the latest.
	platformGrace = 6 * time.Second
	instanceGrace = 5 * time.Second
	lossSlack     = 200 * time.Millisecond
	executeCount  = 16
)

// grpcSite is a deployment whose instances serve callers over gRPC, with the project's
// own backend servers and store.
type grpcSite struct {
	folder    string
	ledger    *stand.Client
	processes []*os.Process
	exits     []chan struct{}
}

// program returns the path of a program that the deploy file or build.sh has built.
func program(name string) string { return filepath.Join("target", name) }

func (s *grpcSite) start(environment []string, name string, arguments ...string) int {
	logFile, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("%d.log", len(s.processes))), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	defer logFile.Close()
	c := exec.Command(program(name), arguments...)
	c.Env = append(os.Environ(), environment...)
	c.Stdout, c.Stderr = logFile, logFile
	if err := c.Start(); err != nil {
		s.close()
		fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		c.Wait()
		close(exited)
	}()
	s.processes, s.exits = append(s.processes, c.Process), append(s.exits, exited)
	return len(s.processes) - 1
}

func (s *grpcSite) close() {
	for i, p := range s.processes {
		select {
		case <-s.exits[i]:
		default:
			p.Signal(syscall.SIGKILL)
			<-s.exits[i]
		}
	}
	os.RemoveAll(s.folder)
}

// adjacentPorts returns the first of two adjacent free ports.
func adjacentPorts() int {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		l.Close()
		if err == nil {
			next.Close()
			return port
		}
	}
}

const grpcSiteFile = `name = "review"
data-centres = ["zone-a", "zone-b", "zone-c"]
base-port = %d
network-delay = "1ms"

[[groups]]
name = "filing"
services = 1
servers = 2
slots = 1
connections = 25
connect-cost = "1ms"
cold-bears = 1
warm-runs = 1
shards = 2
replicas = 2
service-time = "1500ms"
priority = 1
`

// grpcStop stops one of two instances as planned while requests that may run once wait in
// it for a free slot.
func grpcStop(trouble bool) int {
	rec := newRecord()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	s := &grpcSite{folder: folder}
	defer s.close()
	siteFile := filepath.Join(folder, "site.toml")
	if err := os.WriteFile(siteFile, fmt.Appendf(nil, grpcSiteFile, adjacentPorts()), 0o600); err != nil {
		fatal(err)
	}
	control, store := freeAddress(), freeAddress()
	s.start(nil, "review-lentilstand", "run", siteFile, "--listen", control, "--store", store)
	if s.ledger, err = stand.New(control); err != nil {
		fatal(err)
	}
	var callers, operators, peers []string
	for range 2 {
		callers, operators, peers = append(callers, freeAddress()), append(operators, freeAddress()), append(peers, freeAddress())
	}
	seeds, _ := json.Marshal(peers)
	var instances []int
	for i := range callers {
		path := filepath.Join(folder, fmt.Sprintf("instance-%d.toml", i+1))
		text := fmt.Sprintf("name = \"instance-%d\"\ndata-centre = \"zone-a\"\npeers = %s\n[listen]\ncallers = %q\noperators = %q\npeers = %q\nmonitor = %q\n[store]\naddress = %q\n[stop]\ngrace = %q\n",
			i+1, seeds, callers[i], operators[i], peers[i], freeAddress(), store, instanceGrace)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			fatal(err)
		}
		instances = append(instances, s.start([]string{"LENTILWARD_NODE_FILE=" + path}, "lentilward", "run"))
	}
	time.Sleep(2 * time.Second)
	services, err := exec.Command(program("review-lentilstand"), "services", siteFile).Output()
	if err != nil {
		s.close()
		fatal(err)
	}
	servicesFile := filepath.Join(folder, "services.toml")
	if err := os.WriteFile(servicesFile, services, 0o600); err != nil {
		fatal(err)
	}
	create := exec.Command(program("review-lentilctl"), "service", "create", servicesFile, "--change-id", "review", "--author", "review")
	create.Env = append(os.Environ(), "LENTILWARD_OPERATORS="+operators[0])
	if output, err := create.CombinedOutput(); err != nil {
		s.close()
		fatal(fmt.Errorf("create the service: %v: %s", err, output))
	}
	time.Sleep(6 * time.Second)
	execute := func(id string) (output string, err error) {
		data, err := exec.Command(program("review-lentilctl"), "execute", "--timeout", "30s", "-i", callers[0], "--request-id", id, "filing", "document").CombinedOutput()
		return strings.Join(strings.Fields(string(data)), " "), err
	}
	for range 2 {
		var warming sync.WaitGroup
		for i := range 2 {
			warming.Go(func() {
				id := fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano())
				output, err := execute(id)
				rec.add("caller: %s ended: %v, %s", id, err, output)
			})
		}
		warming.Wait()
	}

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
			o.output, o.err = execute(o.id)
			o.endedAt = time.Now()
		})
	}
	time.Sleep(500 * time.Millisecond)
	signalAt := time.Now()
	if trouble {
		stopped := instances[0]
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
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	entries, err := s.ledger.Ledger(ctx)
	if err != nil {
		s.close()
		fatal(err)
	}
	arrived := make(map[string]int)
	for _, e := range entries {
		arrived[e.RequestId]++
	}
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
