// Package rollouts shows the rollouts that instances know.
package rollouts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilctl/render"
)

// maxReplyBytes bounds the reply of an instance.
const maxReplyBytes = 4 << 20

// View is a rollout as an instance shows it.
type View struct {
	Service    string         `json:"service"`
	Target     string         `json:"target"`
	Present    string         `json:"present"`
	State      string         `json:"state"`
	Controller string         `json:"controller"`
	Elapsed    float64        `json:"elapsed-seconds"`
	Duration   float64        `json:"duration-seconds"`
	Exposed    int            `json:"exposed"`
	Requests   int            `json:"requests"`
	Samples    int            `json:"samples"`
	Bad        int            `json:"bad"`
	Reason     string         `json:"reason"`
	Servers    map[string]int `json:"servers"`
}

// Show prints the rollouts as the first instance shows them that answers.
func Show(timeout time.Duration, monitors []string, p *render.Printer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var failure error
	for _, address := range monitors {
		views, err := fetch(ctx, address)
		if err != nil {
			failure = err
			continue
		}
		return printViews(views, p)
	}
	return failure
}

func printViews(views []View, p *render.Printer) error {
	rows := make([][]string, 0, len(views))
	for _, v := range views {
		rows = append(rows, []string{
			v.Service, v.Present + " -> " + v.Target, v.State, fmt.Sprintf("%.0f of %.0f s", min(v.Elapsed, v.Duration), v.Duration),
			fmt.Sprintf("%d of %d", v.Exposed, v.Requests), fmt.Sprintf("%d, %d bad", v.Samples, v.Bad), v.Controller, v.Reason,
		})
	}
	return p.Print(views, []string{"SERVICE", "VERSION", "STATE", "TIME", "EXPOSED", "SAMPLES", "CONTROLLER", "REASON"}, rows)
}

func fetch(ctx context.Context, address string) ([]View, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/rollouts", nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, merry.Errorf("%s has no rollouts in its settings", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("%s answered with status %d", address, response.StatusCode)
	}
	var views []View
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&views); err != nil {
		return nil, merry.Prepend(err, "decode the answer of "+address)
	}
	return views, nil
}
