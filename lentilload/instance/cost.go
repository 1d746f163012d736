package instance

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// scrapeTimeout bounds one read of an instance's metrics.
const scrapeTimeout = 2 * time.Second

// Cost is what an instance has used since it started.
type Cost struct {
	// CPUSeconds is processor time, ResidentBytes memory.
	CPUSeconds    float64
	ResidentBytes float64
	// Attempts are calls sent to backend servers.
	Attempts float64
	// PeerBytes were sent to and received from peers.
	PeerBytes float64
	// PlatformCalls were made to the platform.
	PlatformCalls float64
}

// Scrape reads the cost of an instance from its metrics.
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
