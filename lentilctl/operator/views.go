package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilctl/render"
	"lentilward.org/schema/operatorpb"
)

// pollInterval is the time between two polls of the instances.
const pollInterval = 100 * time.Millisecond

func (c *Client) fetchConfig(timeout time.Duration) (*operatorpb.GetConfigReply, error) {
	var reply *operatorpb.GetConfigReply
	err := c.callAny(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
		var err error
		reply, err = client.GetConfig(ctx, &operatorpb.GetConfigRequest{})
		return err
	})
	return reply, err
}

// ListServices prints all services.
func (c *Client) ListServices(timeout time.Duration, p *render.Printer) error {
	config, err := c.fetchConfig(timeout)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, s := range config.Services {
		rows = append(rows, []string{
			s.Name, fmt.Sprint(s.Shards), fmt.Sprint(s.Priority), fmt.Sprint(len(s.BackendServers)), fmt.Sprint(s.Revision),
		})
	}
	return p.Print(config.Services, []string{"NAME", "SHARDS", "PRIORITY", "BACKEND SERVERS", "REVISION"}, rows)
}

// ShowService prints one service with its backend servers.
func (c *Client) ShowService(timeout time.Duration, name string, p *render.Printer) error {
	config, err := c.fetchConfig(timeout)
	if err != nil {
		return err
	}
	for _, s := range config.Services {
		if s.Name == name {
			return printService(s, p)
		}
	}
	return merry.Errorf("unknown service %q; lentilctl service list prints all services", name)
}

func printService(s *operatorpb.Service, p *render.Printer) error {
	p.PrintLine("%s: %d shards, priority %d, hedge budget %g, changed at revision %d", s.Name, s.Shards, s.Priority, s.HedgeBudget, s.Revision)
	var rows [][]string
	for _, b := range s.BackendServers {
		rows = append(rows, []string{
			b.Address, b.DataCentre, fmt.Sprint(b.Slots), fmt.Sprint(b.Connections), fmt.Sprint(b.ColdLimit), fmt.Sprint(b.Draining),
		})
	}
	return p.Print(s, []string{"BACKEND SERVER", "DATA CENTRE", "SLOTS", "CONNECTIONS", "COLD LIMIT", "DRAINING"}, rows)
}

// ListDataCentres prints all data centres.
func (c *Client) ListDataCentres(timeout time.Duration, p *render.Printer) error {
	config, err := c.fetchConfig(timeout)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, d := range config.DataCentres {
		state := "in service"
		if d.Withdrawn {
			state = "withdrawn"
		}
		rows = append(rows, []string{d.Name, state, fmt.Sprint(d.BackendServers)})
	}
	return p.Print(config.DataCentres, []string{"NAME", "STATE", "BACKEND SERVERS"}, rows)
}

// ListServers prints the state of the backend servers as observed by one instance.
func (c *Client) ListServers(timeout time.Duration, p *render.Printer) error {
	var reply *operatorpb.GetStatusReply
	err := c.callAny(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
		var err error
		reply, err = client.GetStatus(ctx, &operatorpb.GetStatusRequest{})
		return err
	})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, b := range reply.BackendServers {
		rows = append(rows, []string{
			b.Service, b.Address, b.DataCentre, b.State, fmt.Sprintf("%d/%d", b.InFlight, b.Limit),
			fmt.Sprint(b.Version), (time.Duration(b.LatencyUs) * time.Microsecond).String(),
		})
	}
	return p.Print(reply.BackendServers, []string{"SERVICE", "ADDRESS", "DATA CENTRE", "STATE", "IN FLIGHT", "VERSION", "LATENCY"}, rows)
}

// Status prints the state of the members as observed by each instance of the client.
// An instance whose call fails is listed as down.
func (c *Client) Status(timeout time.Duration, p *render.Printer) error {
	var rows [][]string
	var replies []*operatorpb.GetStatusReply
	for _, address := range c.Instances {
		instanceClient := Client{Instances: []string{address}}
		var reply *operatorpb.GetStatusReply
		err := instanceClient.callAny(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
			var err error
			reply, err = client.GetStatus(ctx, &operatorpb.GetStatusRequest{MembersOnly: true})
			return err
		})
		if err != nil {
			rows = append(rows, []string{address, "-", "-", "down", "-", "-"})
			continue
		}
		reply.BackendServers = nil
		replies = append(replies, reply)
		for _, m := range reply.Members {
			rows = append(rows, []string{
				reply.Instance, m.Name, m.DataCentre, m.State, fmt.Sprint(m.ConfigRevision),
				(time.Duration(m.AgeMs) * time.Millisecond).String(),
			})
		}
	}
	return p.Print(replies, []string{"SEEN BY", "MEMBER", "DATA CENTRE", "STATE", "REVISION", "LAST SEEN"}, rows)
}

// History prints the latest changes.
func (c *Client) History(timeout time.Duration, p *render.Printer) error {
	var reply *operatorpb.GetHistoryReply
	err := c.callAny(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
		var err error
		reply, err = client.GetHistory(ctx, &operatorpb.GetHistoryRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return printHistory(reply.Entries, p)
}

// Diff prints the changes after revision from, up to and including revision to.
func (c *Client) Diff(timeout time.Duration, from, to uint64, p *render.Printer) error {
	var reply *operatorpb.GetDiffReply
	err := c.callAny(timeout, func(ctx context.Context, client operatorpb.OperatorClient) error {
		var err error
		reply, err = client.GetDiff(ctx, &operatorpb.GetDiffRequest{FromRevision: from, ToRevision: to})
		return err
	})
	if err != nil {
		return err
	}
	return printHistory(reply.Entries, p)
}

func printHistory(entries []*operatorpb.HistoryEntry, p *render.Printer) error {
	var rows [][]string
	for _, h := range entries {
		rows = append(rows, []string{
			fmt.Sprint(h.Revision), time.UnixMilli(h.UnixMs).UTC().Format(time.RFC3339), h.Author, h.Summary, h.ChangeId,
		})
	}
	return p.Print(entries, []string{"REVISION", "TIME", "AUTHOR", "CHANGE", "CHANGE ID"}, rows)
}

// Wait polls the instances of the client until a revision is in force on every
// member that any of them reports as alive. After the timeout, its error lists the
// members that have an older revision.
func (c *Client) Wait(timeout time.Duration, revision uint64, p *render.Printer) error {
	deadline := time.Now().Add(timeout)
	for {
		lagging, err := c.laggingMembers(revision)
		if err == nil && len(lagging) == 0 {
			return printRevision(p, revision, "in force everywhere")
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return merry.Errorf("revision %d is not in force on: %s", revision, strings.Join(lagging, ", "))
		}
		time.Sleep(pollInterval)
	}
}

// laggingMembers returns the live members that have an older revision than the given
// one, according to the replies of all instances of the client. It returns an error if no
// instance replied.
func (c *Client) laggingMembers(revision uint64) ([]string, error) {
	revisions := make(map[string]uint64)
	answered := false
	var lastErr error
	for _, address := range c.Instances {
		err := callInstance(context.Background(), address, func(ctx context.Context, client operatorpb.OperatorClient) error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			reply, err := client.GetStatus(ctx, &operatorpb.GetStatusRequest{MembersOnly: true})
			if err != nil {
				return err
			}
			answered = true
			for _, m := range reply.Members {
				if m.State == "alive" {
					revisions[m.Name] = max(revisions[m.Name], m.ConfigRevision)
				}
			}
			return nil
		})
		if err != nil {
			lastErr = describeError(address, err)
		}
	}
	if !answered {
		return nil, lastErr
	}
	var lagging []string
	for name, r := range revisions {
		if r < revision {
			lagging = append(lagging, fmt.Sprintf("%s (%d)", name, r))
		}
	}
	return lagging, nil
}
