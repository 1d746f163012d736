package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"lentilward.org/lentilload/caller"
	"lentilward.org/lentilload/schedule"
	"lentilward.org/lentilstand/site"
	"lentilward.org/schema/operatorpb"
)

const (
	// poisonDeadline is the time that a poison request has.
	poisonDeadline = 2 * time.Second
)

// fault brings about a fault at its times.
func (x *experiment) fault(ctx context.Context, f schedule.Fault, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 1))
	for n := range max(1, f.Times) {
		at := x.begin.Add(time.Duration(f.At) + time.Duration(n)*time.Duration(f.Every))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		if err := x.apply(ctx, f, n, draw); err != nil {
			fmt.Fprintf(os.Stderr, "lentilload: fault %s: %v\n", f.Kind, err)
		}
	}
}

func (x *experiment) apply(ctx context.Context, f schedule.Fault, n int, draw *rand.Rand) error {
	switch f.Kind {
	case "withdraw", "return":
		id := fmt.Sprintf("%s-%s-%d", x.schedule.Name, f.Kind, n)
		return x.operators.SetDataCentre(context.WithoutCancel(ctx), id, x.target(f.Target), f.Kind == "withdraw")
	case "kill":
		x.mu.Lock()
		x.lost = append(x.lost, time.Now())
		x.mu.Unlock()
		if f.Target == "all" {
			return x.killAll()
		}
		return x.instances.Kill(1 + n%len(x.options.callers))
	case "replace":
		return x.instances.Stop(1 + n%len(x.options.callers))
	case "pause":
		if err := x.instances.Pause(1 + n%len(x.options.callers)); err != nil {
			return err
		}
		time.Sleep(time.Duration(f.For))
		return x.instances.Resume(1 + n%len(x.options.callers))
	case "poison":
		x.poison(ctx, f, n)
		return nil
	}
	for _, target := range x.targets(f, draw) {
		if err := x.stand.Apply(ctx, f.Kind, target, time.Duration(f.For), f.Amount); err != nil {
			return err
		}
	}
	return nil
}

// killAll ends all instances at once.
func (x *experiment) killAll() error {
	var failed error
	for i := range x.options.callers {
		failed = errors.Join(failed, x.instances.Kill(1+i))
	}
	return failed
}

// poison sends the same harmful query through one instance after another.
func (x *experiment) poison(ctx context.Context, f schedule.Fault, n int) {
	var names []string
	for _, g := range x.site.Groups {
		if g.Name == x.target(f.Target) {
			names = g.ServiceNames()
		}
	}
	r := &caller.Record{
		ID: fmt.Sprintf("%s-poison-%d", x.schedule.Name, n), Caller: "poisoner", Class: "interactive",
		Services: names, Query: "poison of " + x.schedule.Name, All: true, Deadline: poisonDeadline,
	}
	x.sender.SendTo(ctx, n, r)
	x.generator.Add(r)
}

// targets returns the targets of a fault of the stand-ins.
func (x *experiment) targets(f schedule.Fault, draw *rand.Rand) []string {
	if f.Target != "sample" {
		return []string{x.target(f.Target)}
	}
	servers := x.site.Servers()
	n := max(1, int(f.Share*float64(len(servers))+0.5))
	var chosen []string
	for _, i := range draw.Perm(len(servers))[:n] {
		chosen = append(chosen, servers[i].Address.String())
	}
	return chosen
}

// target resolves "data-centre-N" and "group-N" to names of the site.
func (x *experiment) target(name string) string {
	if rest, ok := strings.CutPrefix(name, "data-centre-"); ok {
		if n, err := strconv.Atoi(rest); err == nil && n >= 1 && n <= len(x.site.DataCentres) {
			return x.site.DataCentres[n-1]
		}
	}
	if rest, ok := strings.CutPrefix(name, "group-"); ok {
		if n, err := strconv.Atoi(rest); err == nil && n >= 1 && n <= len(x.site.Groups) {
			return x.site.Groups[n-1].Name
		}
	}
	return name
}

// race lets one operator change a service again and again. All racers change
// the same one.
func (x *experiment) race(ctx context.Context, racer int) {
	select {
	case <-time.After(time.Until(x.begin)):
	case <-ctx.Done():
		return
	}
	x.operators.Race(ctx, racer, raced(x.site))
}

// raced describes the last service of a site as it was created.
func raced(s *site.Site) *operatorpb.Service {
	servers := s.Servers()
	last := servers[len(servers)-1]
	service := &operatorpb.Service{Name: last.Service, Shards: last.Group.Shards, HedgeBudget: 0.05}
	for _, b := range servers {
		if b.Service == last.Service {
			service.BackendServers = append(service.BackendServers, &operatorpb.BackendServer{
				Address: b.Address.String(), DataCentre: b.DataCentre, Slots: b.Group.Slots,
				Connections: b.Group.Connections, ColdLimit: b.Group.ColdBears,
			})
		}
	}
	return service
}
