package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilload/audit"
	"lentilward.org/lentilload/caller"
	"lentilward.org/lentilload/instance"
	"lentilward.org/lentilload/operator"
	"lentilward.org/lentilload/report"
	"lentilward.org/lentilload/schedule"
	"lentilward.org/lentilload/stand"
	"lentilward.org/lentilstand/site"
)

// How an experiment runs:
//
//	schedule -> caller.Generator -> caller.Sender -> instances -> stand-ins
//	   |                                 |                           |
//	   +-> faults by stand, instance     v                           v
//	       and operator              records + accepted changes + ledgers
//	                                              |
//	                                              v
//	                                            audit -> report

const (
	// settleTime is how long the system is left alone after the load, so that
	// changes and recoveries end.
	settleTime = time.Second
	// recoveryFactor is how near to its old value the tail must be again.
	recoveryFactor = 1.5
	// readyPatience bounds the wait for the instances.
	readyPatience = 30 * time.Second
)

// experiment is one run.
type experiment struct {
	options   *options
	site      *site.Site
	schedule  *schedule.Schedule
	sender    *caller.Sender
	generator *caller.Generator
	stand     *stand.Stand
	operators *operator.Operators
	instances *instance.Instances
	begin     time.Time
	lost      []time.Time
	mu        sync.Mutex
	// before and after are the costs of the instances around the measurement.
	before, after []instance.Cost
}

func runExperiment(o *options) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x, err := newExperiment(ctx, o)
	if err != nil {
		return err
	}
	if err := x.awaitReady(); err != nil {
		return err
	}
	x.run(ctx)
	return x.conclude(ctx)
}

func newExperiment(ctx context.Context, o *options) (*experiment, error) {
	s, err := site.Read(o.site)
	if err != nil {
		return nil, err
	}
	plan, err := schedule.Load(o.schedule)
	if err != nil {
		return nil, err
	}
	if len(plan.Loads) > 0 {
		s.Loads = plan.Loads
	}
	sender, err := caller.NewSender(ctx, o.callers, o.monitors)
	if err != nil {
		return nil, err
	}
	control, err := stand.New(o.stand)
	if err != nil {
		return nil, err
	}
	operators, err := operator.New(o.operators)
	if err != nil {
		return nil, err
	}
	return &experiment{
		options: o, site: s, schedule: plan, sender: sender, stand: control, operators: operators,
		generator: caller.NewGenerator(sender, s, fmt.Sprintf("%s-%d", plan.Name, o.seed)),
		instances: instance.New(o.folder),
	}, nil
}

func (x *experiment) awaitReady() error {
	deadline := time.Now().Add(readyPatience)
	for x.sender.Ready() < len(x.options.callers) {
		if time.Now().After(deadline) {
			return merry.Errorf("%d of %d instances are ready", x.sender.Ready(), len(x.options.callers))
		}
		time.Sleep(settleTime / 10)
	}
	return nil
}

// run puts the load on and brings about the faults.
func (x *experiment) run(ctx context.Context) {
	if x.options.plain {
		// The plain fan-out has no means to get cold servers warm.
		if err := x.stand.Apply(ctx, "warm", "*", 0, 0); err != nil {
			fmt.Fprintln(os.Stderr, "lentilload:", err)
		}
	}
	x.begin = time.Now().Add(time.Duration(x.schedule.WarmUp))
	end := x.begin.Add(time.Duration(x.schedule.Duration))
	load, stop := context.WithDeadline(ctx, end)
	defer stop()
	var open sync.WaitGroup
	for i, l := range x.site.Loads {
		open.Go(func() {
			x.generator.Run(load, l, x.options.seed+uint64(i), func() (float64, bool) { return x.factor(l) })
		})
	}
	for i, f := range x.schedule.Faults {
		open.Go(func() { x.fault(load, f, x.options.seed+uint64(i)) })
	}
	for i := range x.schedule.Racers {
		open.Go(func() { x.race(load, i) })
	}
	open.Go(func() {
		time.Sleep(time.Until(x.begin))
		x.before = x.costs()
	})
	if terminal() {
		open.Go(func() { x.progress(load) })
	}
	open.Wait()
	x.after = x.costs()
	time.Sleep(settleTime)
}

// costs reads what each instance has used; nothing of one that does not answer.
func (x *experiment) costs() []instance.Cost {
	costs := make([]instance.Cost, len(x.options.monitors))
	for i, m := range x.options.monitors {
		c, err := instance.Scrape(m)
		if err != nil {
			fmt.Fprintf(os.Stderr, "lentilload: %s: %v\n", m, err)
			continue
		}
		costs[i] = c
	}
	return costs
}

// factor returns by how much the rate of a load is multiplied now.
func (x *experiment) factor(l site.Load) (rate float64, warmUp bool) {
	rate = x.schedule.RateFactor
	at := time.Since(x.begin)
	if at < 0 {
		return rate, true
	}
	for _, s := range x.schedule.Surges {
		concerns := s.Group == "" || x.target(s.Group) == l.Group
		if concerns && at >= time.Duration(s.At) && at < time.Duration(s.At+s.For) {
			rate *= s.Factor
		}
	}
	return rate, false
}

func (x *experiment) progress(ctx context.Context) {
	for ctx.Err() == nil {
		fmt.Fprintf(os.Stderr, "\r%s: %5.1f s, %d requests", x.schedule.Name, time.Since(x.begin).Seconds(), x.generator.Progress())
		time.Sleep(settleTime / 2)
	}
	fmt.Fprintln(os.Stderr)
}

// conclude audits the run and stores its trace.
func (x *experiment) conclude(ctx context.Context) error {
	records := x.generator.Wait()
	accepted := x.operators.Accepted()
	ledger, err := x.stand.Ledger(ctx)
	if err != nil {
		return err
	}
	servers, err := x.stand.Servers(ctx)
	if err != nil {
		return err
	}
	findings := audit.Check(&audit.Evidence{
		Records: records, Ledger: ledger, Servers: servers, Accepted: accepted,
		Configs: x.operators.Config(ctx), History: x.operators.History(ctx),
	})
	r := report.Summarize(x.schedule.Name, x.site, x.options.seed, records, findings, x.begin)
	r.Cost = report.NewCost(x.before, x.after, time.Duration(x.schedule.Duration))
	if len(x.lost) > 0 {
		r.RecoveryS = report.Recovery(records, x.lost[0], recoveryFactor).Seconds()
	}
	for _, e := range findings.Examples {
		fmt.Fprintln(os.Stderr, "finding:", e)
	}
	return report.NewTrace(r, records, ledger, x.begin, findings.Examples).Write(x.options.out)
}
