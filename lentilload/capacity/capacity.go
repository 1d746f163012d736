// Package capacity calculates the resources that an instance needs at the
// target size from measured costs per call, server and member.
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

// Read reads a TOML file with slopes. It fails if the file is missing, malformed
// or has unknown keys.
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

// Table returns the calculations and their results at the target size as a
// Markdown table.
func (s *Slopes) Table() string {
	var b strings.Builder
	b.WriteString("| role | quantity | calculation | at the target size | mechanism, comparison with the limit |\n| --- | --- | --- | --- | --- |\n")
	addRow := func(role, quantity, calculation, value, verdict string) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", role, quantity, calculation, value, verdict)
	}
	s.addRequestRows(addRow)
	s.addControlRows(addRow)
	s.addPlatformRows(addRow)
	return b.String()
}

type rowFunc func(role, quantity, calculation, value, verdict string)

// addRequestRows adds the rows on the cost of processing requests.
func (s *Slopes) addRequestRows(addRow rowFunc) {
	target, measured := s.Target, s.Measured
	queries := target.QueriesPerSecond / target.Nodes
	replies := target.QueriesPerSecond * target.LeafsPerQuery / target.Nodes
	cores := replies * (measured.CPUPerCall + measured.CPUPerShard) / microsPerSecond
	addRow("entry", "queries a second", "140,000 / 870", fmt.Sprintf("%.0f", queries), "spread over all nodes by the load balancer")
	addRow("entry, direct fan-out", "leaf replies a second", "queries x 1,100 / 870", fmt.Sprintf("%.0f", replies), "one call per shard")
	addRow("entry, direct fan-out", "processor", "replies x (call + server selection and merging)", fmt.Sprintf("%.1f cores", cores),
		compareWithLimit(cores, nodeCores, "cores of a node like the one measured; calls must be batched"))
	addRow("entry, direct fan-out", "connections of one leaf", "one per node", fmt.Sprintf("%.0f", target.Nodes),
		"a leaf accepts 30 to 100 connections: owners are needed")
	addRow("entry, direct fan-out", "network", "replies x bytes", fmt.Sprintf("%.1f MB/s", replies*measured.BytesPerCall/mebibyte), "batching saves the headers of single calls")
	leafs := target.Leafs * target.OwnersPerLeaf / target.Nodes
	addRow("owner", "leafs of a node", "4,200 x 8 / 870", fmt.Sprintf("%.0f", leafs), "rendezvous hashing over groups; not built")
	subQueries := target.QueriesPerSecond * target.GroupsPerQuery / target.Nodes
	addRow("owner", "sub-queries a second", "queries x 30 groups / 870", fmt.Sprintf("%.0f", subQueries), "sub-queries over the peer connection; not built")
	addRow("owner", "processor for sub-queries", "sub-queries x one call, both ends", fmt.Sprintf("%.1f cores", directions*subQueries*measured.CPUPerCall/microsPerSecond), "assumes that a sub-query costs as much as a call")
	addRow("owner", "processor for merging", "replies x (server selection and merging)", fmt.Sprintf("%.1f cores", replies*measured.CPUPerShard/microsPerSecond), "the cost that remains with batching")
}

// addControlRows adds the rows on the cost of an instance that is independent of
// the request rate.
func (s *Slopes) addControlRows(addRow rowFunc) {
	target, measured := s.Target, s.Measured
	leafs := target.Leafs * target.OwnersPerLeaf / target.Nodes
	probes := directions * measured.ProbeBytes * measured.ProbesPerSecond / kibibyte
	changes := measured.ChangeBytes * measured.ChangeCopies * target.ChangesPerDay / secondsPerDay / kibibyte
	addRow("member", "probes", "bytes x probes, both directions", fmt.Sprintf("%.2f KB/s", probes), compareWithLimit(probes, target.ControlKBPerS, "KB/s; random probes, independent of the number of members"))
	addRow("instance with the configuration", "configuration changes", "580 a day x bytes x copies", fmt.Sprintf("%.4f KB/s", changes), compareWithLimit(changes+probes, target.ControlKBPerS, "KB/s together with probes"))
	cpu := leafs * measured.CPUPerServerIdle / microsPerSecond
	addRow("member", "processor without load", "leafs x idle cost of a server", fmt.Sprintf("%.1f%% of a core", 100*cpu), compareWithLimit(100*cpu, 100*target.ControlCPUShare, "% of a core; status polls and limits"))
	memory := (measured.MemoryIdle + leafs*measured.MemoryPerServer + target.Nodes*measured.MemoryPerMember + target.Leafs*measured.MemoryPerService) / mebibyte
	addRow("all", "memory without load", "idle + servers + members + services", fmt.Sprintf("%.0f MB", memory), compareWithLimit(memory, target.ControlMB, "MB; one service per leaf"))
	addRow("instance with the configuration", "delay until a change is in force", "measured with 128 members, 1 message in 10 lost", fmt.Sprintf("%.1f s", measured.SpreadSeconds128), "grows with the logarithm of the members; target 12 s")
}

// addPlatformRows adds the rows on the load on the platform.
func (s *Slopes) addPlatformRows(addRow rowFunc) {
	target, measured := s.Target, s.Measured
	polls := (target.Nodes-measured.WatchingInstances)/measured.HeadPollSeconds + measured.WatchingInstances/measured.WatchTimeoutSeconds
	addRow("platform", "reads a second, steady", "polls of the configuration head + renewals of watches", fmt.Sprintf("%.1f", polls), "limit 2,000; four instances watch, the others poll every 45 s")
	addRow("platform", "reads of the instance list a second", "870 / 10 s", fmt.Sprintf("%.0f", target.Nodes/measured.ListPollSeconds), "limit 2,000; the interval could grow with the number of members")
	addRow("platform", "writes a second", "580 changes a day, 3 writes each", fmt.Sprintf("%.3f", 3*target.ChangesPerDay/secondsPerDay), "limit several hundred; not counted: 1 or 2 claims per non-idempotent request")
	addRow("platform", "calls while a data centre starts", "200 nodes, 1 read of the list + 1 of the head each", "400", "services are fetched from peers, not from the platform")
}

func compareWithLimit(value, limit float64, unit string) string {
	if value <= limit {
		return fmt.Sprintf("within %.3g %s", limit, unit)
	}
	return fmt.Sprintf("**%.1f times the limit** of %.3g %s", value/limit, limit, unit)
}
