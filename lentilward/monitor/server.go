package monitor

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lentilward.org/lentilward/blackboard"
)

// apiVersion is the version of the HTTP interface, published in its schema.
const apiVersion = "1.0.0"

// Handler returns the handler of /healthz, /readyz, /status and /metrics.
func Handler(board *blackboard.Board, metrics *Metrics) http.Handler {
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("lentilward", apiVersion))
	huma.Get(api, "/healthz", func(context.Context, *struct{}) (*health, error) {
		return newHealth("alive"), nil
	})
	huma.Get(api, "/readyz", func(context.Context, *struct{}) (*health, error) {
		phase := board.LocalInstance.Load().Phase
		if phase != blackboard.Serving {
			return nil, huma.Error503ServiceUnavailable(phase.String())
		}
		return newHealth(phase.String()), nil
	})
	huma.Get(api, "/status", func(context.Context, *struct{}) (*status, error) {
		return newStatus(board), nil
	})
	mux.Handle("/metrics", promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{}))
	return mux
}

// health is the response of /healthz and /readyz.
type health struct {
	Body struct {
		State string `json:"state"`
	}
}

func newHealth(state string) *health {
	h := &health{}
	h.Body.State = state
	return h
}

// status is the response of /status: the instance's view of itself, the members
// and the backend servers.
type status struct {
	Body struct {
		Instance       string         `json:"instance"`
		DataCentre     string         `json:"data-centre"`
		Phase          string         `json:"phase"`
		ConfigRevision uint64         `json:"config-revision"`
		Members        []memberStatus `json:"members"`
		Servers        []serverStatus `json:"backend-servers"`
	}
}

type memberStatus struct {
	Name           string `json:"name"`
	State          string `json:"state"`
	ConfigRevision uint64 `json:"config-revision"`
}

type serverStatus struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	State    string `json:"state"`
	InFlight int32  `json:"in-flight"`
	Limit    int32  `json:"limit"`
	Latency  string `json:"latency"`
}

func newStatus(board *blackboard.Board) *status {
	local := board.LocalInstance.Load()
	s := &status{}
	s.Body.Instance = local.Name
	s.Body.DataCentre = local.DataCentre
	s.Body.Phase = local.Phase.String()
	s.Body.ConfigRevision = board.Config.Load().Revision
	for _, m := range board.Members.Load().List {
		s.Body.Members = append(s.Body.Members, memberStatus{m.Name, m.State.String(), m.Revision})
	}
	for _, r := range board.Routes.Load().Services {
		for _, b := range r.Servers {
			s.Body.Servers = append(s.Body.Servers, serverStatus{
				Service: b.Service, Address: b.Address.String(), State: b.State(),
				InFlight: b.InFlight.Load(), Limit: b.Limit.Load(), Latency: b.Latency().String(),
			})
		}
	}
	return s
}
