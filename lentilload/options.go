package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// options are the flags of a run.
type options struct {
	site      string
	schedule  string
	seed      uint64
	folder    string
	out       string
	callers   []string
	operators []string
	monitors  []string
	stand     string
	plain     bool
}

// commands are the parsed command line.
type commands struct {
	chosen   string
	run      options
	baseline string
	guarded  string
	traces   string
	document string
	plots    string
	slopes   string
	check    bool
}

const (
	commandRun    = "run"
	commandJoin   = "join"
	commandReport = "report"
	commandSheet  = "capacity"
)

func parse(args []string) *commands {
	var c commands
	app := kingpin.New("lentilload", "Load, faults and audit.")
	run := app.Command(commandRun, "Run an experiment against running processes.")
	run.Flag("site", "Site file.").Required().ExistingFileVar(&c.run.site)
	run.Flag("schedule", "Experiment file.").Required().ExistingFileVar(&c.run.schedule)
	run.Flag("seed", "Seed of load and faults.").Default("1").Uint64Var(&c.run.seed)
	run.Flag("folder", "Folder with the process ids of the instances.").Required().StringVar(&c.run.folder)
	run.Flag("out", "File for the trace.").Required().StringVar(&c.run.out)
	run.Flag("callers", "Caller address of an instance.").Required().StringsVar(&c.run.callers)
	run.Flag("operators", "Operator address of an instance.").Required().StringsVar(&c.run.operators)
	run.Flag("monitors", "Monitor address of an instance.").Required().StringsVar(&c.run.monitors)
	run.Flag("stand", "Control address of the stand-ins.").Default("127.0.0.1:19000").StringVar(&c.run.stand)
	run.Flag("plain", "The instances run the plain fan-out.").BoolVar(&c.run.plain)

	join := app.Command(commandJoin, "Print the result of a run with its baseline as one JSON object.")
	join.Arg("guarded", "Trace of the run.").Required().ExistingFileVar(&c.guarded)
	join.Arg("baseline", "Trace of the baseline.").Required().ExistingFileVar(&c.baseline)

	report := app.Command(commandReport, "Write the table and the plots of all traces.")
	report.Arg("traces", "Folder with traces.").Required().ExistingDirVar(&c.traces)
	report.Flag("document", "File whose generated part is replaced.").Required().StringVar(&c.document)
	report.Flag("plots", "Folder for plots.").Required().StringVar(&c.plots)

	sheet := app.Command(commandSheet, "Renew the capacity sheet from the slopes.")
	sheet.Arg("slopes", "File with slopes.").Required().ExistingFileVar(&c.slopes)
	sheet.Flag("document", "File whose generated part is replaced.").Required().StringVar(&c.document)
	sheet.Flag("check", "Only check that the document is current.").BoolVar(&c.check)

	c.chosen = kingpin.MustParse(app.Parse(args))
	return &c
}

// terminal tells whether progress can be shown on a line of its own.
func terminal() bool {
	info, err := os.Stderr.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
