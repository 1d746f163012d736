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

// Data flow of an experiment:
//
//	schedule -> caller.Generator -> caller.Sender -> instances -> stand-ins
//	   |                                 |                           |
//	   +-> faults through packages       v                           v
//	       stand, instance and       records + accepted changes + ledger
//	       operator
//	                                              |
//	                                              v
//	                                            audit -> report

const (
	// settleDelay is the time between the end of the load and the audit, in which
	// pending changes and recoveries can end. Fractions of it are the intervals of
	// readiness checks and of the progress display.
	settleDelay = time.Second
	// recoveryFactor is the multiple of the 99th percentile before a fault up to
	// which the latency after it counts as recovered.
	recoveryFactor = 1.5
	// readyTimeout is the longest wait for all instances to be ready.
	readyTimeout = 30 * time.Second
)

// experiment is one run of an experiment.
type experiment struct {
	options          *runOptions
	site             *site.Site
	schedule         *schedule.Schedule
	sender           *caller.Sender
	generator        *caller.Generator
	standIns         *stand.Client
	operators        *operator.Operators
	instances        *instance.Instances
	measurementStart time.Time
	killTimes        []time.Time
	mu               sync.Mutex
	// costsBefore and costsAfter are the costs of the instances at the start and
	// at the end of the measurement.
	costsBefore, costsAfter []instance.Cost
}

func runExperiment(o *runOptions) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e, err := newExperiment(ctx, o)
	if err != nil {
		return err
	}
	if err := e.awaitReady(); err != nil {
		return err
	}
	e.runLoadAndFaults(ctx)
	return e.auditAndReport(ctx)
}

func newExperiment(ctx context.Context, o *runOptions) (*experiment, error) {
	siteConfig, err := site.Read(o.sitePath)
	if err != nil {
		return nil, err
	}
	plan, err := schedule.Read(o.schedulePath)
	if err != nil {
		return nil, err
	}
	if len(plan.Loads) > 0 {
		siteConfig.Loads = plan.Loads
	}
	sender, err := caller.NewSender(ctx, o.callerAddresses, o.monitorAddresses)
	if err != nil {
		return nil, err
	}
	standIns, err := stand.New(o.standAddress)
	if err != nil {
		return nil, err
	}
	operators, err := operator.New(o.operatorAddresses)
	if err != nil {
		return nil, err
	}
	return &experiment{
		options: o, site: siteConfig, schedule: plan, sender: sender, standIns: standIns, operators: operators,
		generator: caller.NewGenerator(sender, siteConfig, fmt.Sprintf("%s-%d", plan.Name, o.seed)),
		instances: instance.New(o.pidFolder),
	}, nil
}

func (e *experiment) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for e.sender.ReadyCount() < len(e.options.callerAddresses) {
		if time.Now().After(deadline) {
			return merry.Errorf("timed out waiting for instances: %d of %d are ready", e.sender.ReadyCount(), len(e.options.callerAddresses))
		}
		time.Sleep(settleDelay / 10)
	}
	return nil
}

// runLoadAndFaults sends the load and injects the faults, and returns when all
// have ended.
func (e *experiment) runLoadAndFaults(ctx context.Context) {
	if e.options.plainFanOut {
		// The plain fan-out cannot warm up cold servers, so they start warm.
		if err := e.standIns.InjectFault(ctx, "warm", "*", 0, 0); err != nil {
			fmt.Fprintln(os.Stderr, "lentilload: warming up backend servers for the plain fan-out:", err)
		}
	}
	e.measurementStart = time.Now().Add(time.Duration(e.schedule.WarmUp))
	end := e.measurementStart.Add(time.Duration(e.schedule.Duration))
	loadCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var running sync.WaitGroup
	for i, l := range e.site.Loads {
		running.Go(func() {
			e.generator.Run(loadCtx, l, e.options.seed+uint64(i), func() (float64, bool) { return e.rateFactor(l) })
		})
	}
	for i, f := range e.schedule.Faults {
		running.Go(func() { e.injectFaults(loadCtx, f, e.options.seed+uint64(i)) })
	}
	for i := range e.schedule.Racers {
		running.Go(func() { e.runRacer(loadCtx, i) })
	}
	running.Go(func() {
		time.Sleep(time.Until(e.measurementStart))
		e.costsBefore = e.scrapeCosts()
	})
	if isTerminal() {
		running.Go(func() { e.showProgress(loadCtx) })
	}
	running.Wait()
	e.costsAfter = e.scrapeCosts()
	time.Sleep(settleDelay)
}

// scrapeCosts reads the cost of each instance; it is zero for an instance that
// does not answer.
func (e *experiment) scrapeCosts() []instance.Cost {
	costs := make([]instance.Cost, len(e.options.monitorAddresses))
	for i, m := range e.options.monitorAddresses {
		c, err := instance.Scrape(m)
		if err != nil {
			fmt.Fprintf(os.Stderr, "lentilload: scraping metrics of instance %s: %v\n", m, err)
			continue
		}
		costs[i] = c
	}
	return costs
}

// rateFactor returns the factor by which the rate of a load is currently
// multiplied, and whether the warm-up is still in progress.
func (e *experiment) rateFactor(l site.Load) (factor float64, warmUp bool) {
	factor = e.schedule.RateFactor
	elapsed := time.Since(e.measurementStart)
	if elapsed < 0 {
		return factor, true
	}
	for _, s := range e.schedule.Surges {
		isTargeted := s.Group == "" || e.resolveTarget(s.Group) == l.Group
		if isTargeted && elapsed >= time.Duration(s.At) && elapsed < time.Duration(s.At+s.For) {
			factor *= s.Factor
		}
	}
	return factor, false
}

func (e *experiment) showProgress(ctx context.Context) {
	for ctx.Err() == nil {
		fmt.Fprintf(os.Stderr, "\r%s: %5.1f s, %d requests", e.schedule.Name, time.Since(e.measurementStart).Seconds(), e.generator.EndedCount())
		time.Sleep(settleDelay / 2)
	}
	fmt.Fprintln(os.Stderr)
}

// auditAndReport audits the run, prints examples of the findings and stores the
// trace.
func (e *experiment) auditAndReport(ctx context.Context) error {
	records := e.generator.Wait()
	accepted := e.operators.AcceptedChanges()
	ledger, err := e.standIns.Ledger(ctx)
	if err != nil {
		return err
	}
	servers, err := e.standIns.Servers(ctx)
	if err != nil {
		return err
	}
	findings := audit.Check(&audit.Evidence{
		Records: records, Ledger: ledger, Servers: servers, Accepted: accepted,
		Configs: e.operators.Configs(ctx), Histories: e.operators.Histories(ctx),
	})
	r := report.Summarize(e.schedule.Name, e.site, e.options.seed, records, findings, e.measurementStart)
	r.Cost = report.NewCost(e.costsBefore, e.costsAfter, time.Duration(e.schedule.Duration))
	if len(e.killTimes) > 0 {
		r.RecoveryS = report.RecoveryTime(records, e.killTimes[0], recoveryFactor).Seconds()
	}
	for _, example := range findings.Examples {
		fmt.Fprintln(os.Stderr, "audit finding:", example)
	}
	return report.NewTrace(r, records, ledger, e.measurementStart, findings.Examples).Write(e.options.tracePath)
}
