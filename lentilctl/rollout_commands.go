package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/render"
	"lentilward.org/lentilctl/rollouts"
)

// registerRolloutCommands adds the command that shows rollouts to app.
func registerRolloutCommands(app *kingpin.Application, timeout *time.Duration, setAction actionSetter) {
	cmd := app.Command("rollouts", "Show the rollouts as observed by an instance.")
	monitors := cmd.Flag("instance", "Monitor address of an instance, IP:port; may be repeated, the first that answers is used.").Short('i').
		Envar("LENTILWARD_MONITORS").Default("127.0.0.1:18301").Strings()
	cmd.Action(setAction(func(p *render.Printer) error { return rollouts.Show(*timeout, *monitors, p) }))
}
