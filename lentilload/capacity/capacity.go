// Package capacity calculates the resources that a node needs at the target
// size from measured costs per call, server and member.
package capacity

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Slopes holds the measured costs and the target size.
type Slopes struct {
	Target   Target   `toml:"target"`
	Measured Measured `toml:"measured"`
}

// Target is the size that the system is designed for, and the limits on the
// resources that one instance uses for control traffic.
type Target struct {
	Nodes            float64 `toml:"nodes"`
	Leafs            float64 `toml:"leafs"`
	QueriesPerSecond float64 `toml:"queries-per-second"`
	LeafsPerQuery    float64 `toml:"leafs-per-query"`
	ChangesPerDay    float64 `toml:"changes-per-day"`
	OwnersPerLeaf    float64 `toml:"owners-per-leaf"`
	GroupsPerQuery   float64 `toml:"groups-per-query"`
	ControlCPUShare  float64 `toml:"control-cpu-share"`
	ControlMB        float64 `toml:"control-mb"`
	ControlKBPerS    float64 `toml:"control-kb-per-s"`
}

// Measured holds the measured costs of one instance. CPU times are in
// microseconds, sizes in bytes, and intervals in seconds.
type Measured struct {
	CPUPerCall          float64 `toml:"cpu-per-call-us"`
	CPUPerShard         float64 `toml:"cpu-per-shard-us"`
	BytesPerCall        float64 `toml:"bytes-per-call"`
	CPUPerServerIdle    float64 `toml:"cpu-per-server-idle-us"`
	MemoryPerServer     float64 `toml:"memory-per-server"`
	MemoryPerMember     float64 `toml:"memory-per-member"`
	MemoryPerService    float64 `toml:"memory-per-service"`
	MemoryIdle          float64 `toml:"memory-idle"`
	ProbeBytes          float64 `toml:"probe-bytes"`
	ProbesPerSecond     float64 `toml:"probes-per-second"`
	ChangeBytes         float64 `toml:"change-bytes"`
	ChangeCopies        float64 `toml:"change-copies"`
	SpreadSeconds128    float64 `toml:"spread-seconds-128"`
	WatchingInstances   float64 `toml:"watching-instances"`
	HeadPollSeconds     float64 `toml:"head-poll-seconds"`
	WatchTimeoutSeconds float64 `toml:"watch-timeout-seconds"`
	ListPollSeconds     float64 `toml:"list-poll-seconds"`
}

// Read reads a file with slopes. It fails on unknown keys.
func Read(path string) (*Slopes, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	var s Slopes
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		var unknownKeys *toml.StrictMissingError
		if errors.As(err, &unknownKeys) {
			return nil, merry.Errorf("%s: unknown key:\n%s", path, unknownKeys.String())
		}
		return nil, merry.Prepend(err, path)
	}
	return &s, nil
}

const (
	microsPerSecond = 1e6
	mebibyte        = 1 << 20
	kibibyte        = 1 << 10
	secondsPerDay   = 24 * 60 * 60
	directions      = 2
	// nodeCores is the number of cores of the machine on which the costs were
	// measured.
	nodeCores = 8
)

// Table returns the calculations and their results as a Markdown table.
func (s *Slopes) Table() string {
	var b strings.Builder
	b.WriteString("| role | what | sum | at the target | mechanism, verdict |\n| --- | --- | --- | --- | --- |\n")
	row := func(role, what, sum, value, verdict string) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", role, what, sum, value, verdict)
	}
	s.requestRows(row)
	s.controlRows(row)
	s.platformRows(row)
	return b.String()
}

type rowFunc func(role, what, sum, value, verdict string)

// requestRows adds the rows on the cost of processing requests.
func (s *Slopes) requestRows(row rowFunc) {
	t, m := s.Target, s.Measured
	queries := t.QueriesPerSecond / t.Nodes
	replies := t.QueriesPerSecond * t.LeafsPerQuery / t.Nodes
	cores := replies * (m.CPUPerCall + m.CPUPerShard) / microsPerSecond
	row("entry", "queries a second", "140,000 / 870", fmt.Sprintf("%.0f", queries), "balancer over all nodes")
	row("entry, direct fan-out", "leaf replies a second", "queries x 1,100 / 870", fmt.Sprintf("%.0f", replies), "one call per shard")
	row("entry, direct fan-out", "processor", "replies x (call + choice and merge)", fmt.Sprintf("%.1f cores", cores),
		verdict(cores, nodeCores, "cores of a node like the one measured; calls must be batched"))
	row("entry, direct fan-out", "connections of one leaf", "one per node", fmt.Sprintf("%.0f", t.Nodes),
		"a leaf takes 30 to 100: owners are needed")
	row("entry, direct fan-out", "network", "replies x bytes", fmt.Sprintf("%.1f MB/s", replies*m.BytesPerCall/mebibyte), "batching leaves out headers")
	leafs := t.Leafs * t.OwnersPerLeaf / t.Nodes
	row("owner", "leafs of a node", "4,200 x 8 / 870", fmt.Sprintf("%.0f", leafs), "rendezvous hashing over groups; not built")
	subQueries := t.QueriesPerSecond * t.GroupsPerQuery / t.Nodes
	row("owner", "sub-queries a second", "queries x 30 groups / 870", fmt.Sprintf("%.0f", subQueries), "sub-queries over the peer connection; not built")
	row("owner", "processor for sub-queries", "sub-queries x one call, both ends", fmt.Sprintf("%.1f cores", directions*subQueries*m.CPUPerCall/microsPerSecond), "assumes the cost of a call")
	row("owner", "processor for merging", "replies x (choice and merge)", fmt.Sprintf("%.1f cores", replies*m.CPUPerShard/microsPerSecond), "the part that batching does not take away")
}

// controlRows adds the rows on the cost of an instance that is independent of
// the request rate.
func (s *Slopes) controlRows(row rowFunc) {
	t, m := s.Target, s.Measured
	leafs := t.Leafs * t.OwnersPerLeaf / t.Nodes
	probes := directions * m.ProbeBytes * m.ProbesPerSecond / kibibyte
	changes := m.ChangeBytes * m.ChangeCopies * t.ChangesPerDay / secondsPerDay / kibibyte
	row("member", "probes", "bytes x probes, both ways", fmt.Sprintf("%.2f KB/s", probes), verdict(probes, t.ControlKBPerS, "KB/s; random probes, flat in the number of members"))
	row("configuration holder", "differences", "580 a day x bytes x copies", fmt.Sprintf("%.4f KB/s", changes), verdict(changes+probes, t.ControlKBPerS, "KB/s together with probes"))
	cpu := leafs * m.CPUPerServerIdle / microsPerSecond
	row("member", "processor without load", "leafs x idle cost of a server", fmt.Sprintf("%.1f%% of a core", 100*cpu), verdict(100*cpu, 100*t.ControlCPUShare, "%; status polls and limits"))
	memory := (m.MemoryIdle + leafs*m.MemoryPerServer + t.Nodes*m.MemoryPerMember + t.Leafs*m.MemoryPerService) / mebibyte
	row("all", "memory without load", "idle + servers + members + services", fmt.Sprintf("%.0f MB", memory), verdict(memory, t.ControlMB, "MB; a service per leaf"))
	row("configuration holder", "change in force", "measured with 128 members, 1 message in 10 lost", fmt.Sprintf("%.1f s", m.SpreadSeconds128), "grows with the logarithm of the members; target 12 s")
}

// platformRows adds the rows on the load on the platform.
func (s *Slopes) platformRows(row rowFunc) {
	t, m := s.Target, s.Measured
	polls := (t.Nodes-m.WatchingInstances)/m.HeadPollSeconds + m.WatchingInstances/m.WatchTimeoutSeconds
	row("platform", "reads a second, steady", "polls of the head + renewed watches", fmt.Sprintf("%.1f", polls), "of 2,000; four watches, the others poll every 45 s")
	row("platform", "reads of the list a second", "870 / 10 s", fmt.Sprintf("%.0f", t.Nodes/m.ListPollSeconds), "of 2,000; could be rarer as members are many")
	row("platform", "writes a second", "580 changes a day, 3 writes each", fmt.Sprintf("%.3f", 3*t.ChangesPerDay/secondsPerDay), "of several hundred; claims come on top, 1 or 2 per non-idempotent request")
	row("platform", "calls of a data centre that starts", "200 nodes, 1 list + 1 head each", "400", "peers give the services; no herd")
}

func verdict(value, limit float64, unit string) string {
	if value <= limit {
		return fmt.Sprintf("within %.3g %s", limit, unit)
	}
	return fmt.Sprintf("**%.1f times over** %.3g %s", value/limit, limit, unit)
}
