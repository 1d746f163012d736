package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"lentilward.org/lentilctl/render"
	"lentilward.org/schema/operatorpb"
)

// servicesFile is the content of a TOML file that lists services.
type servicesFile struct {
	Services []struct {
		Name           string  `toml:"name"`
		Shards         uint32  `toml:"shards"`
		Priority       uint32  `toml:"priority"`
		HedgeBudget    float64 `toml:"hedge-budget"`
		BackendServers []struct {
			Address     string `toml:"address"`
			DataCentre  string `toml:"data-centre"`
			Slots       uint32 `toml:"slots"`
			Connections uint32 `toml:"connections"`
			ColdLimit   uint32 `toml:"cold-limit"`
			WarmRuns    uint32 `toml:"warm-runs"`
			Draining    bool   `toml:"draining"`
		} `toml:"backend-servers"`
		Limits []struct {
			Caller   string `toml:"caller"`
			Class    string `toml:"class"`
			InFlight uint32 `toml:"in-flight"`
		} `toml:"limits"`
	} `toml:"services"`
}

// readServices reads the services listed in a TOML file. An unknown key is an error.
func readServices(path string) ([]*operatorpb.Service, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	var file servicesFile
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&file); err != nil {
		var unknownKeys *toml.StrictMissingError
		if errors.As(err, &unknownKeys) {
			return nil, merry.Errorf("%s: unknown key:\n%s", path, unknownKeys.String())
		}
		return nil, merry.Prepend(err, path)
	}
	var services []*operatorpb.Service
	for _, s := range file.Services {
		service := &operatorpb.Service{Name: s.Name, Shards: s.Shards, Priority: s.Priority, HedgeBudget: s.HedgeBudget}
		for _, b := range s.BackendServers {
			service.BackendServers = append(service.BackendServers, &operatorpb.BackendServer{
				Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots, Connections: b.Connections,
				ColdLimit: b.ColdLimit, WarmRuns: b.WarmRuns, Draining: b.Draining,
			})
		}
		for _, l := range s.Limits {
			service.Limits = append(service.Limits, &operatorpb.Limit{Caller: l.Caller, Class: l.Class, InFlight: l.InFlight})
		}
		services = append(services, service)
	}
	return services, nil
}

// Apply creates or, unless createOnly is set, changes the services listed in a file.
// Each service is a separate change; the first error ends the command, and the
// changes accepted before it stay.
func (c *Client) Apply(timeout time.Duration, path string, createOnly bool, p *render.Printer) error {
	services, err := readServices(path)
	if err != nil {
		return err
	}
	var revision uint64
	for i, s := range services {
		r := &operatorpb.PutServiceRequest{Change: c.newChange(fmt.Sprintf("/%d", i)), Service: s, CreateOnly: createOnly}
		err := c.callAny(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
			reply, err := client.PutService(ctx, r)
			revision = reply.GetRevision()
			return err
		})
		if err != nil {
			return merry.Prependf(err, "service %q", s.Name)
		}
	}
	return printRevision(p, revision, fmt.Sprintf("%d services", len(services)))
}

// RemoveService removes a service.
func (c *Client) RemoveService(timeout time.Duration, name string, p *render.Printer) error {
	r := &operatorpb.RemoveServiceRequest{Change: c.newChange(""), Name: name}
	return c.makeChange(timeout, p, "service "+name+" removed", func(ctx context.Context, client operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return client.RemoveService(ctx, r)
	})
}

// SetDataCentre withdraws a data centre or returns it to service.
func (c *Client) SetDataCentre(timeout time.Duration, name string, withdrawn bool, p *render.Printer) error {
	r := &operatorpb.SetDataCentreRequest{Change: c.newChange(""), Name: name, Withdrawn: withdrawn}
	message := "data centre " + name + " returned"
	if withdrawn {
		message = "data centre " + name + " withdrawn"
	}
	return c.makeChange(timeout, p, message, func(ctx context.Context, client operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return client.SetDataCentre(ctx, r)
	})
}

// Drain takes a backend server out of service or returns it to service.
func (c *Client) Drain(timeout time.Duration, service, address string, draining bool, p *render.Printer) error {
	r := &operatorpb.DrainBackendServerRequest{Change: c.newChange(""), Service: service, Address: address, Draining: draining}
	message := "backend server " + address + " returned to service"
	if draining {
		message = "backend server " + address + " drains"
	}
	return c.makeChange(timeout, p, message, func(ctx context.Context, client operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return client.DrainBackendServer(ctx, r)
	})
}

// makeChange sends one change and prints the revision that contains it.
func (c *Client) makeChange(timeout time.Duration, p *render.Printer, message string, call func(context.Context, operatorpb.OperatorClient) (*operatorpb.ChangeReply, error)) error {
	var reply *operatorpb.ChangeReply
	err := c.callAny(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
		var err error
		reply, err = call(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	return printRevision(p, reply.Revision, message)
}

func printRevision(p *render.Printer, revision uint64, message string) error {
	result := struct {
		Revision uint64 `json:"revision"`
		Done     string `json:"done"`
	}{revision, message}
	return p.Print(result, []string{"REVISION", "DONE"}, [][]string{{fmt.Sprint(revision), message}})
}
