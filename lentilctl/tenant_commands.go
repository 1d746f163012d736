package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/operator"
	"lentilward.org/lentilctl/render"
)

// registerTenantCommands adds the commands about tenants to app.
func registerTenantCommands(app *kingpin.Application, timeout *time.Duration, setAction actionSetter) {
	tenants := app.Command("tenants", "Show the tenants and what they use of their allowances, summed over instances.")
	var instances []string
	tenants.Flag("instance", "Monitor address of an instance, IP:port; may be repeated.").Short('i').
		Envar("LENTILWARD_MONITORS").Default("127.0.0.1:18301").StringsVar(&instances)
	tenants.Action(setAction(func(p *render.Printer) error { return operator.Tenants(instances, *timeout, p) }))
}
