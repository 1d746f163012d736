package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/operator"
	"lentilward.org/lentilctl/render"
)

// registerExplainCommand adds the command that shows where a request would go to app.
func registerExplainCommand(app *kingpin.Application, timeout *time.Duration, setAction actionSetter) {
	cmd := app.Command("explain", "Show where a request would go now at each instance, and why, without sending it.")
	host := cmd.Arg("host", "Host of the request.").Required().String()
	path := cmd.Arg("path", "Path of the request.").Required().String()
	tenant := cmd.Flag("tenant", "Name of the tenant that sends the request.").String()
	var instances []string
	cmd.Flag("instance", "Monitor address of an instance, IP:port; may be repeated.").Short('i').
		Envar("LENTILWARD_MONITORS").Default("127.0.0.1:18301").StringsVar(&instances)
	cmd.Action(setAction(func(p *render.Printer) error { return operator.Explain(instances, *host, *path, *tenant, *timeout, p) }))
}
