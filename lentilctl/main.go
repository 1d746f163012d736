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

// Exit codes. The help text lists them too.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitRefused        = 3
	exitConflict       = 4
	exitOutcomeUnknown = 5
)

const help = `Command line of lentilward for callers and operators.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused, not run; 4 conflict with another change; 5 outcome unknown, or the request ran without a whole answer.`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	app := kingpin.New("lentilctl", help)
	// kingpin calls Terminate after it has printed help or completions. The first
	// call decides the exit code, and no command runs.
	terminated, code := false, 0
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(c int) {
		if !terminated {
			terminated, code = true, c
		}
	})
	output := app.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json")
	timeout := app.Flag("timeout", "Timeout of the whole command.").Default("10s").Duration()
	var action func(p *render.Printer) error
	registerCommands(app, timeout, &action)
	_, err := app.Parse(args)
	if terminated {
		return code
	}
	if err != nil {
		fmt.Fprintf(errOut, "lentilctl: %v; try lentilctl --help\n", err)
		return exitUsage
	}
	if action == nil {
		return 0
	}
	if err := action(render.New(out, *output == "json")); err != nil {
		fmt.Fprintln(errOut, "lentilctl:", err)
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
	case errors.Is(err, caller.ErrMayHaveRun), errors.Is(err, operator.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	}
	return exitFailure
}

// registerCommands adds all commands to app. Parsing a command line sets action to
// the function that runs the command it names.
func registerCommands(app *kingpin.Application, timeout *time.Duration, action *func(*render.Printer) error) {
	setAction := func(run func(*render.Printer) error) kingpin.Action {
		return func(*kingpin.ParseContext) error {
			*action = run
			return nil
		}
	}
	registerCallerCommands(app, timeout, setAction)
	registerOperatorCommands(app, timeout, setAction)
	registerRolloutCommands(app, timeout, setAction)
	registerExplainCommand(app, timeout, setAction)
}
