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
	// poisonDeadline is the deadline of a poison request.
	poisonDeadline = 2 * time.Second
)

// injectFaults injects a fault at each of its times until the context ends.
func (e *experiment) injectFaults(ctx context.Context, f schedule.Fault, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for n := range max(1, f.Times) {
		at := e.measurementStart.Add(time.Duration(f.At) + time.Duration(n)*time.Duration(f.Every))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		if err := e.injectFault(ctx, f, n, random); err != nil {
			fmt.Fprintf(os.Stderr, "lentilload: injecting fault %s: %v\n", f.Kind, err)
		}
	}
}

func (e *experiment) injectFault(ctx context.Context, f schedule.Fault, repetition int, random *rand.Rand) error {
	switch f.Kind {
	case "withdraw", "return":
		id := fmt.Sprintf("%s-%s-%d", e.schedule.Name, f.Kind, repetition)
		return e.operators.SetDataCentre(context.WithoutCancel(ctx), id, e.resolveTarget(f.Target), f.Kind == "withdraw")
	case "kill":
		e.mu.Lock()
		e.killTimes = append(e.killTimes, time.Now())
		e.mu.Unlock()
		if f.Target == "all" {
			return e.killAll()
		}
		return e.instances.Kill(1 + repetition%len(e.options.callerAddresses))
	case "replace":
		return e.instances.Stop(1 + repetition%len(e.options.callerAddresses))
	case "pause":
		if err := e.instances.Pause(1 + repetition%len(e.options.callerAddresses)); err != nil {
			return err
		}
		time.Sleep(time.Duration(f.For))
		return e.instances.Resume(1 + repetition%len(e.options.callerAddresses))
	case "poison":
		e.sendPoisonRequest(ctx, f, repetition)
		return nil
	}
	for _, target := range e.faultTargets(f, random) {
		if err := e.standIns.InjectFault(ctx, f.Kind, target, time.Duration(f.For), f.Amount); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all instances at once.
func (e *experiment) killAll() error {
	var killErrs error
	for i := range e.options.callerAddresses {
		killErrs = errors.Join(killErrs, e.instances.Kill(1+i))
	}
	return killErrs
}

// sendPoisonRequest sends the nth poison request of the run. All have the same
// query, and each goes through the next instance.
func (e *experiment) sendPoisonRequest(ctx context.Context, f schedule.Fault, n int) {
	var serviceNames []string
	for _, g := range e.site.Groups {
		if g.Name == e.resolveTarget(f.Target) {
			serviceNames = g.ServiceNames()
		}
	}
	r := &caller.Record{
		ID: fmt.Sprintf("%s-poison-%d", e.schedule.Name, n), Caller: "poisoner", Class: "interactive",
		Services: serviceNames, Query: "poison of " + e.schedule.Name, AllShards: true, Deadline: poisonDeadline,
	}
	e.sender.SendToInstance(ctx, n, r)
	e.generator.AddRecord(r)
}

// faultTargets returns the targets of a fault of the stand-ins: the one named in
// the schedule, or for "sample" the addresses of a random sample of backend servers.
func (e *experiment) faultTargets(f schedule.Fault, random *rand.Rand) []string {
	if f.Target != "sample" {
		return []string{e.resolveTarget(f.Target)}
	}
	servers := e.site.Servers()
	n := max(1, int(f.Share*float64(len(servers))+0.5))
	var chosen []string
	for _, i := range random.Perm(len(servers))[:n] {
		chosen = append(chosen, servers[i].Address.String())
	}
	return chosen
}

// resolveTarget returns the name of the site's Nth data centre or group for
// "data-centre-N" and "group-N", and any other name unchanged.
func (e *experiment) resolveTarget(name string) string {
	if rest, ok := strings.CutPrefix(name, "data-centre-"); ok {
		if n, err := strconv.Atoi(rest); err == nil && n >= 1 && n <= len(e.site.DataCentres) {
			return e.site.DataCentres[n-1]
		}
	}
	if rest, ok := strings.CutPrefix(name, "group-"); ok {
		if n, err := strconv.Atoi(rest); err == nil && n >= 1 && n <= len(e.site.Groups) {
			return e.site.Groups[n-1].Name
		}
	}
	return name
}

// runRacer repeatedly changes a service as one of several operators. All racers
// change the same service, so that their changes conflict.
func (e *experiment) runRacer(ctx context.Context, racer int) {
	select {
	case <-time.After(time.Until(e.measurementStart)):
	case <-ctx.Done():
		return
	}
	e.operators.RaceChanges(ctx, racer, racedService(e.site))
}

// racedService returns the service that the racers change: the last one of the
// site, with the settings that it was created with.
func racedService(s *site.Site) *operatorpb.Service {
	servers := s.Servers()
	last := servers[len(servers)-1]
	service := &operatorpb.Service{Name: last.Service, Shards: last.Group.Shards, HedgeBudget: 0.05}
	for _, b := range servers {
		if b.Service == last.Service {
			service.BackendServers = append(service.BackendServers, &operatorpb.BackendServer{
				Address: b.Address.String(), DataCentre: b.DataCentre, Slots: b.Group.Slots,
				Connections: b.Group.Connections, ColdLimit: b.Group.ColdLimit,
			})
		}
	}
	return service
}
