// Command lentilload puts load on a site, brings about faults and audits what
// the system promises.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilload/report"
)

func main() {
	c := parse(os.Args[1:])
	var err error
	switch c.chosen {
	case commandRun:
		err = runExperiment(&c.run)
	case commandJoin:
		err = join(c.guarded, c.baseline)
	case commandReport:
		err = report.Write(c.traces, c.document, c.plots)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilload:", err)
		os.Exit(1)
	}
}

// join prints a result with the figures of its baseline.
func join(guarded, baseline string) error {
	g, err := report.ReadTrace(guarded)
	if err != nil {
		return err
	}
	b, err := report.ReadTrace(baseline)
	if err != nil {
		return err
	}
	g.Result.Baseline = &b.Result.Figures
	if err := g.Write(guarded); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(g.Result); err != nil {
		return merry.Wrap(err)
	}
	return nil
}
