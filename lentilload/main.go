// Command lentilload puts load on a site, brings about faults and audits what
// the system promises.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilload/capacity"
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
	case commandSheet:
		err = sheet(c)
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

// sheet renews the capacity sheet, or checks that it is current.
func sheet(c *commands) error {
	slopes, err := capacity.Read(c.slopes)
	if err != nil {
		return err
	}
	next, err := report.WithPart(c.document, []byte(slopes.Table()))
	if err != nil {
		return err
	}
	old, err := os.ReadFile(c.document)
	if err != nil {
		return merry.Wrap(err)
	}
	if bytes.Equal(old, next) {
		return nil
	}
	if c.check {
		return merry.Errorf("%s is not current; run make capacity", c.document)
	}
	if err := os.WriteFile(c.document, next, 0o644); err != nil {
		return merry.Wrap(err)
	}
	return nil
}
