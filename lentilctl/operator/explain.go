package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilctl/render"
)

// maxExplanationBytes bounds the reply of one instance.
const maxExplanationBytes = 4 << 20

// explanation is where a request would go at one instance, as its monitor shows it.
type explanation struct {
	Instance          string  `json:"instance"`
	DataCentre        string  `json:"data-centre"`
	Version           uint64  `json:"configuration-version"`
	Route             string  `json:"route"`
	Tenant            string  `json:"tenant"`
	Refused           string  `json:"refused"`
	Message           string  `json:"message"`
	Priority          int     `json:"priority"`
	Search            bool    `json:"search"`
	Shards            int     `json:"shards"`
	SearchesPerSecond float64 `json:"searches-per-second"`
	Groups            []struct {
		Shards  int `json:"shards"`
		Holders []struct {
			Name       string `json:"name"`
			Address    string `json:"address"`
			DataCentre string `json:"data-centre"`
			State      string `json:"state"`
			Connected  bool   `json:"connected"`
		} `json:"holders"`
	} `json:"held-groups"`
	Services []struct {
		Name    string `json:"name"`
		Held    bool   `json:"held"`
		Servers []struct {
			ID         string   `json:"id"`
			DataCentre string   `json:"data-centre"`
			Version    string   `json:"version"`
			States     []string `json:"states"`
			Usable     bool     `json:"usable"`
			Cost       float64  `json:"expected-cost"`
			InFlight   int      `json:"in-flight"`
			Limit      int      `json:"limit"`
			Share      float64  `json:"share"`
		} `json:"servers"`
	} `json:"services"`
	More int `json:"more-services"`
}

// Explain prints where a request for a host and path, of a tenant unless that is empty,
// would go now at each instance. The instances are given by the addresses of their
// monitors; those that do not reply are named.
func Explain(instances []string, host, path, tenant string, timeout time.Duration, p *render.Printer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	query := url.Values{"host": {host}, "path": {path}}
	if tenant != "" {
		query.Set("tenant", tenant)
	}
	var list []*explanation
	var missing []string
	for _, address := range instances {
		e, err := fetchExplanation(ctx, address, query)
		if err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		list = append(list, e)
	}
	if len(list) == 0 {
		return merry.Errorf("no instance replied: %s", strings.Join(missing, "; "))
	}
	for _, m := range missing {
		p.PrintLine("not included: %s", m)
	}
	var rows [][]string
	for _, e := range list {
		e.printSummary(p)
		rows = append(rows, e.rows()...)
	}
	return p.Print(list, []string{"INSTANCE", "SERVICE", "ORDER", "SERVER", "DATA CENTRE", "STATE", "COST", "IN FLIGHT", "VERSION"}, rows)
}

// printSummary prints what holds for the request as a whole.
func (e *explanation) printSummary(p *render.Printer) {
	kind := "one service"
	if e.Search {
		kind = fmt.Sprintf("search of %d shards", e.Shards)
	}
	verdict := "runs"
	if e.Refused != "" {
		verdict = fmt.Sprintf("refused: %s (%s)", e.Refused, e.Message)
	}
	if e.Route == "" {
		p.PrintLine("%s (%s): %s; configuration %d", e.Instance, e.DataCentre, verdict, e.Version)
		return
	}
	p.PrintLine("%s (%s): %s; route %s, priority %d, %s; configuration %d", e.Instance, e.DataCentre, verdict, e.Route, e.Priority, kind, e.Version)
	if e.SearchesPerSecond > 0 {
		p.PrintLine("  limit of searches in force: %.2f a second", e.SearchesPerSecond)
	}
	for _, g := range e.Groups {
		var holders []string
		for _, h := range g.Holders {
			state := h.State
			if !h.Connected {
				state += ", not connected"
			}
			holders = append(holders, fmt.Sprintf("%s %s (%s, %s)", h.Name, h.Address, h.DataCentre, state))
		}
		p.PrintLine("  %d shards at one of the holders %s", g.Shards, strings.Join(holders, "; "))
	}
	if e.More > 0 {
		p.PrintLine("  %d more shards are not shown", e.More)
	}
}

// rows returns one row for each server, and one for each service without servers.
func (e *explanation) rows() [][]string {
	var rows [][]string
	for _, s := range e.Services {
		name := s.Name
		if s.Held {
			name += " (held)"
		}
		if len(s.Servers) == 0 {
			rows = append(rows, []string{e.Instance, name, "-", "none", "", "", "", "", ""})
		}
		for i, v := range s.Servers {
			order, cost, states := "-", "-", strings.Join(v.States, ",")
			if v.Usable {
				order, cost = fmt.Sprint(i+1), fmt.Sprintf("%.2f", v.Cost)
			}
			if v.Share > 0 {
				states += fmt.Sprintf(" (%.0f%%)", 100*v.Share)
			}
			rows = append(rows, []string{e.Instance, name, order, v.ID, v.DataCentre, states, cost, fmt.Sprintf("%d of %d", v.InFlight, v.Limit), v.Version})
		}
	}
	return rows
}

func fetchExplanation(ctx context.Context, address string, query url.Values) (*explanation, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/explain?"+query.Encode(), nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %s", response.Status)
	}
	var e explanation
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxExplanationBytes)).Decode(&e); err != nil {
		return nil, merry.Wrap(err)
	}
	return &e, nil
}
