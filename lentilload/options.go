package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// runOptions are the flags of the run command.
type runOptions struct {
	sitePath          string
	schedulePath      string
	seed              uint64
	pidFolder         string
	tracePath         string
	callerAddresses   []string
	operatorAddresses []string
	monitorAddresses  []string
	standAddress      string
	plainFanOut       bool
}

// commandLine is the parsed command line.
type commandLine struct {
	command      string
	run          runOptions
	baselinePath string
	guardedPath  string
	tracesFolder string
	documentPath string
	plotsFolder  string
	slopesPath   string
	checkOnly    bool
}

const (
	commandRun      = "run"
	commandJoin     = "join"
	commandReport   = "report"
	commandCapacity = "capacity"
)

func parseCommandLine(args []string) *commandLine {
	var c commandLine
	app := kingpin.New("lentilload", "Generate load, inject faults and audit the system.")
	run := app.Command(commandRun, "Run an experiment against running instances and stand-ins.")
	run.Flag("site", "Site file.").Required().ExistingFileVar(&c.run.sitePath)
	run.Flag("schedule", "Experiment file.").Required().ExistingFileVar(&c.run.schedulePath)
	run.Flag("seed", "Seed of the random choices in load and faults.").Default("1").Uint64Var(&c.run.seed)
	run.Flag("folder", "Folder with the process ids of the instances.").Required().StringVar(&c.run.pidFolder)
	run.Flag("out", "File that the trace is written to.").Required().StringVar(&c.run.tracePath)
	run.Flag("callers", "Caller address of an instance; repeat for each instance.").Required().StringsVar(&c.run.callerAddresses)
	run.Flag("operators", "Operator address of an instance; repeat for each instance.").Required().StringsVar(&c.run.operatorAddresses)
	run.Flag("monitors", "Monitor address of an instance; repeat in the order of --callers.").Required().StringsVar(&c.run.monitorAddresses)
	run.Flag("stand", "Control address of the stand-ins.").Default("127.0.0.1:19000").StringVar(&c.run.standAddress)
	run.Flag("plain", "The instances run with the plain fan-out policy.").BoolVar(&c.run.plainFanOut)

	join := app.Command(commandJoin, "Print the result of a run with its baseline as one JSON object.")
	join.Arg("guarded", "Trace of the run.").Required().ExistingFileVar(&c.guardedPath)
	join.Arg("baseline", "Trace of the baseline.").Required().ExistingFileVar(&c.baselinePath)

	report := app.Command(commandReport, "Write the table and the plots of all traces.")
	report.Arg("traces", "Folder with traces.").Required().ExistingDirVar(&c.tracesFolder)
	report.Flag("document", "File whose generated part is replaced.").Required().StringVar(&c.documentPath)
	report.Flag("plots", "Folder that the plots are written to.").Required().StringVar(&c.plotsFolder)

	sheet := app.Command(commandCapacity, "Regenerate the capacity sheet from the slopes.")
	sheet.Arg("slopes", "File with the measured costs and the target size.").Required().ExistingFileVar(&c.slopesPath)
	sheet.Flag("document", "File whose generated part is replaced.").Required().StringVar(&c.documentPath)
	sheet.Flag("check", "Only check that the document is up to date.").BoolVar(&c.checkOnly)

	c.command = kingpin.MustParse(app.Parse(args))
	return &c
}

// isTerminal reports whether standard error is a terminal, on which progress can
// be shown.
func isTerminal() bool {
	info, err := os.Stderr.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
