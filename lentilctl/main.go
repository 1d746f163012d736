// Command lentilctl is the command line of operators and callers.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/caller"
	"lentilward.org/lentilctl/operator"
	"lentilward.org/lentilctl/render"
)

// Exit codes; the help lists them.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitRefused  = 3
	exitConflict = 4
	exitUnknown  = 5
)

const help = `Command line of lentilward for callers and operators.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused, not run; 4 conflict with another change; 5 outcome unknown, or the request ran without a whole answer.`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	app := kingpin.New("lentilctl", help)
	// Help and completion end the command line before a command runs.
	ended, code := false, 0
	app.UsageWriter(out).ErrorWriter(errs).Terminate(func(c int) {
		if !ended {
			ended, code = true, c
		}
	})
	output := app.Flag("output", "table or json.").Default("table").Enum("table", "json")
	timeout := app.Flag("timeout", "Time for the whole command.").Default("10s").Duration()
	var action func(p *render.Printer) error
	register(app, timeout, &action)
	_, err := app.Parse(args)
	if ended {
		return code
	}
	if err != nil {
		fmt.Fprintf(errs, "lentilctl: %v; try lentilctl --help\n", err)
		return exitUsage
	}
	if action == nil {
		return 0
	}
	if err := action(render.New(out, *output == "json")); err != nil {
		fmt.Fprintln(errs, "lentilctl:", err)
		return exitCode(err)
	}
	return 0
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, caller.ErrNotRun):
		return exitRefused
	case errors.Is(err, operator.ErrConflict):
		return exitConflict
	case errors.Is(err, caller.ErrUncertain), errors.Is(err, operator.ErrUncertain):
		return exitUnknown
	}
	return exitFailure
}

// register adds the commands. The chosen one sets action.
func register(app *kingpin.Application, timeout *time.Duration, action *func(*render.Printer) error) {
	set := func(run func(*render.Printer) error) kingpin.Action {
		return func(*kingpin.ParseContext) error {
			*action = run
			return nil
		}
	}
	registerCaller(app, timeout, set)
	registerOperator(app, timeout, set)
}
