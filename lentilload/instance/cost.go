package instance

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// scrapeTimeout is the timeout of one read of an instance's metrics.
const scrapeTimeout = 2 * time.Second

// Cost is the resource usage of an instance since it started.
type Cost struct {
	// CPUSeconds is processor time; ResidentBytes is the current resident memory.
	CPUSeconds    float64
	ResidentBytes float64
	// Attempts counts the attempts sent to backend servers.
	Attempts float64
	// PeerBytes counts the bytes sent to and received from peers.
	PeerBytes float64
	// PlatformCalls counts the calls to the platform.
	PlatformCalls float64
}

// Scrape reads the cost of an instance from the metrics at its monitor address.
// It fails if the instance does not answer within 2 s.
func Scrape(monitor string) (Cost, error) {
	client := &http.Client{Timeout: scrapeTimeout}
	r, err := client.Get("http://" + monitor + "/metrics")
	if err != nil {
		return Cost{}, merry.Wrap(err)
	}
	defer r.Body.Close()
	var c Cost
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "process_cpu_seconds_total":
			c.CPUSeconds = value
		case "process_resident_memory_bytes":
			c.ResidentBytes = value
		case "lentilward_attempts_total":
			c.Attempts = value
		case "lentilward_peer_sent_bytes", "lentilward_peer_received_bytes":
			c.PeerBytes += value
		case "lentilward_platform_calls":
			c.PlatformCalls = value
		}
	}
	return c, lines.Err()
}
