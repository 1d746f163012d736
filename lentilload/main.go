// Command lentilload generates load on a site, injects faults and audits the
// guarantees of the system.
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
	c := parseCommandLine(os.Args[1:])
	var err error
	switch c.command {
	case commandRun:
		err = runExperiment(&c.run)
	case commandJoin:
		err = joinBaseline(c.guardedPath, c.baselinePath)
	case commandReport:
		err = report.WriteDocument(c.tracesFolder, c.documentPath, c.plotsFolder)
	case commandCapacity:
		err = updateCapacitySheet(c)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilload:", err)
		os.Exit(1)
	}
}

// joinBaseline adds the figures of a baseline trace to the result of a guarded
// trace, stores the latter and prints its result as JSON.
func joinBaseline(guardedPath, baselinePath string) error {
	guarded, err := report.ReadTrace(guardedPath)
	if err != nil {
		return err
	}
	baseline, err := report.ReadTrace(baselinePath)
	if err != nil {
		return err
	}
	guarded.Result.Baseline = &baseline.Result.Figures
	if err := guarded.Write(guardedPath); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(guarded.Result); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// updateCapacitySheet regenerates the capacity sheet from the slopes. With
// checkOnly it fails if the sheet is out of date, and does not write it.
func updateCapacitySheet(c *commandLine) error {
	slopes, err := capacity.Read(c.slopesPath)
	if err != nil {
		return err
	}
	updated, err := report.WithGeneratedPart(c.documentPath, []byte(slopes.Table()))
	if err != nil {
		return err
	}
	current, err := os.ReadFile(c.documentPath)
	if err != nil {
		return merry.Wrap(err)
	}
	if bytes.Equal(current, updated) {
		return nil
	}
	if c.checkOnly {
		return merry.Errorf("capacity sheet %s is out of date; run make capacity", c.documentPath)
	}
	if err := os.WriteFile(c.documentPath, updated, 0o644); err != nil {
		return merry.Wrap(err)
	}
	return nil
}
