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

// grpcSite is a deployment whose instances serve callers over gRPC, with the project's
// own backend servers and store.
type grpcSite struct {
	folder    string
	ledger    *stand.Client
	callers   []string
	instances []int
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
service-time = %q
priority = 1
`

// newGRPCSite starts two instances with a service of two servers, each with one slot and
// this mean service time.
func newGRPCSite(serviceTime string) *grpcSite {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	s := &grpcSite{folder: folder}
	siteFile := filepath.Join(folder, "site.toml")
	if err := os.WriteFile(siteFile, fmt.Appendf(nil, grpcSiteFile, adjacentPorts(), serviceTime), 0o600); err != nil {
		fatal(err)
	}
	control, store := freeAddress(), freeAddress()
	s.start(nil, "review-lentilstand", "run", siteFile, "--listen", control, "--store", store)
	if s.ledger, err = stand.New(control); err != nil {
		fatal(err)
	}
	var operators, peers []string
	for range 2 {
		s.callers, operators, peers = append(s.callers, freeAddress()), append(operators, freeAddress()), append(peers, freeAddress())
	}
	seeds, _ := json.Marshal(peers)
	for i := range s.callers {
		path := filepath.Join(folder, fmt.Sprintf("instance-%d.toml", i+1))
		text := fmt.Sprintf("name = \"instance-%d\"\ndata-centre = \"zone-a\"\npeers = %s\n[listen]\ncallers = %q\noperators = %q\npeers = %q\nmonitor = %q\n[store]\naddress = %q\n[stop]\ngrace = %q\n",
			i+1, seeds, s.callers[i], operators[i], peers[i], freeAddress(), store, instanceGrace)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			fatal(err)
		}
		s.instances = append(s.instances, s.start([]string{"LENTILWARD_NODE_FILE=" + path}, "lentilward", "run"))
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
	return s
}

// execute sends a request that may run once to an instance with the project's command line.
func (s *grpcSite) execute(instance int, id string) (output string, err error) {
	data, err := exec.Command(program("review-lentilctl"), "execute", "--timeout", "30s", "-i", s.callers[instance], "--request-id", id, "filing", "document").CombinedOutput()
	return strings.Join(strings.Fields(string(data)), " "), err
}

// warmUp runs a few requests, since servers that have just started are slow.
func (s *grpcSite) warmUp(rec *record) {
	for range 2 {
		var warming sync.WaitGroup
		for i := range 2 {
			warming.Go(func() {
				id := fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano())
				output, err := s.execute(0, id)
				rec.add("caller: %s ended: %v, %s", id, err, output)
			})
		}
		warming.Wait()
	}
}

// runs returns how often the servers have received and run each request.
func (s *grpcSite) runs() (received, ran map[string]int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	entries, err := s.ledger.Ledger(ctx)
	if err != nil {
		s.close()
		fatal(err)
	}
	received, ran = make(map[string]int), make(map[string]int)
	for _, e := range entries {
		received[e.RequestId]++
		if e.Result == "ran" {
			ran[e.RequestId]++
		}
	}
	return received, ran
}
