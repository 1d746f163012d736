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

// servicesFile is the written form of services.
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

// readServices reads a services file; an unknown key is an error.
func readServices(path string) ([]*operatorpb.Service, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	var file servicesFile
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&file); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, merry.Errorf("%s: unknown key:\n%s", path, strict.String())
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

// Apply creates or changes the services of a file, each by a change of its
// own.
func (c *Client) Apply(timeout time.Duration, path string, createOnly bool, p *render.Printer) error {
	services, err := readServices(path)
	if err != nil {
		return err
	}
	var revision uint64
	for i, s := range services {
		r := &operatorpb.PutServiceRequest{Change: c.change(fmt.Sprintf("/%d", i)), Service: s, CreateOnly: createOnly}
		err := c.try(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
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
	r := &operatorpb.RemoveServiceRequest{Change: c.change(""), Name: name}
	return c.single(timeout, p, "service "+name+" removed", func(ctx context.Context, client operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return client.RemoveService(ctx, r)
	})
}

// SetDataCentre withdraws or returns a data centre.
func (c *Client) SetDataCentre(timeout time.Duration, name string, withdrawn bool, p *render.Printer) error {
	r := &operatorpb.SetDataCentreRequest{Change: c.change(""), Name: name, Withdrawn: withdrawn}
	done := "data centre " + name + " returned"
	if withdrawn {
		done = "data centre " + name + " withdrawn"
	}
	return c.single(timeout, p, done, func(ctx context.Context, client operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return client.SetDataCentre(ctx, r)
	})
}

// Drain takes a backend server out of service or back.
func (c *Client) Drain(timeout time.Duration, service, address string, draining bool, p *render.Printer) error {
	r := &operatorpb.DrainBackendServerRequest{Change: c.change(""), Service: service, Address: address, Draining: draining}
	done := "backend server " + address + " is back"
	if draining {
		done = "backend server " + address + " drains"
	}
	return c.single(timeout, p, done, func(ctx context.Context, client operatorpb.OperatorClient) (*operatorpb.ChangeReply, error) {
		return client.DrainBackendServer(ctx, r)
	})
}

// single makes one change and prints the revision that it is in force from.
func (c *Client) single(timeout time.Duration, p *render.Printer, done string, call func(context.Context, operatorpb.OperatorClient) (*operatorpb.ChangeReply, error)) error {
	var reply *operatorpb.ChangeReply
	err := c.try(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
		var err error
		reply, err = call(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	return printRevision(p, reply.Revision, done)
}

func printRevision(p *render.Printer, revision uint64, done string) error {
	result := struct {
		Revision uint64 `json:"revision"`
		Done     string `json:"done"`
	}{revision, done}
	return p.Print(result, []string{"REVISION", "DONE"}, [][]string{{fmt.Sprint(revision), done}})
}
