package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/operator"
	"lentilward.org/lentilctl/render"
)

// registerOperator adds the commands of operators.
func registerOperator(app *kingpin.Application, timeout *time.Duration, set setter) {
	var c operator.Client
	instances := func(cmd *kingpin.CmdClause) {
		cmd.Flag("instance", "Operator address of an instance, IP:port; may be repeated.").Short('i').
			Envar("LENTILWARD_OPERATORS").Default("127.0.0.1:18101").StringsVar(&c.Instances)
	}
	change := func(cmd *kingpin.CmdClause) {
		instances(cmd)
		cmd.Flag("change-id", "Id of the change; made up if absent.").StringVar(&c.ChangeID)
		cmd.Flag("from-revision", "Revision that the change was made from.").Default("-1").Int64Var(&c.FromRevision)
		cmd.Flag("author", "Who makes the change.").Envar("USER").StringVar(&c.Author)
	}
	registerServices(app, &c, timeout, set, instances, change)
	registerPlaces(app, &c, timeout, set, instances, change)
	registerConfig(app, &c, timeout, set, instances)
}

func registerServices(app *kingpin.Application, c *operator.Client, timeout *time.Duration, set setter, instances, change func(*kingpin.CmdClause)) {
	service := app.Command("service", "Create, change, show and remove services.")
	for _, verb := range []struct {
		name, help string
		createOnly bool
	}{
		{"create", "Create the services of a file.", true},
		{"apply", "Create or change the services of a file.", false},
	} {
		cmd := service.Command(verb.name, verb.help)
		change(cmd)
		file := cmd.Arg("file", "TOML file with services.").Required().String()
		cmd.Action(set(func(p *render.Printer) error { return c.Apply(*timeout, *file, verb.createOnly, p) }))
	}
	list := service.Command("list", "List services.")
	instances(list)
	list.Action(set(func(p *render.Printer) error { return c.ListServices(*timeout, p) }))

	show := service.Command("show", "Show one service.")
	instances(show)
	showName := show.Arg("name", "Name of the service.").Required().String()
	show.Action(set(func(p *render.Printer) error { return c.ShowService(*timeout, *showName, p) }))

	remove := service.Command("remove", "Remove a service.")
	change(remove)
	removeName := remove.Arg("name", "Name of the service.").Required().String()
	remove.Action(set(func(p *render.Printer) error { return c.RemoveService(*timeout, *removeName, p) }))
}

func registerPlaces(app *kingpin.Application, c *operator.Client, timeout *time.Duration, set setter, instances, change func(*kingpin.CmdClause)) {
	dc := app.Command("data-centre", "Withdraw, return and list data centres.")
	for _, verb := range []struct {
		name, help string
		withdrawn  bool
	}{
		{"withdraw", "Take a data centre out of service.", true},
		{"return", "Bring a data centre back.", false},
	} {
		cmd := dc.Command(verb.name, verb.help)
		change(cmd)
		name := cmd.Arg("name", "Name of the data centre.").Required().String()
		cmd.Action(set(func(p *render.Printer) error { return c.SetDataCentre(*timeout, *name, verb.withdrawn, p) }))
	}
	dcList := dc.Command("list", "List data centres.")
	instances(dcList)
	dcList.Action(set(func(p *render.Printer) error { return c.ListDataCentres(*timeout, p) }))

	server := app.Command("backend-server", "Drain and list backend servers.")
	for _, verb := range []struct {
		name, help string
		draining   bool
	}{
		{"drain", "Take a backend server out of service.", true},
		{"undrain", "Bring a backend server back.", false},
	} {
		cmd := server.Command(verb.name, verb.help)
		change(cmd)
		name := cmd.Arg("service", "Service of the backend server.").Required().String()
		address := cmd.Arg("address", "Address of the backend server, IP:port.").Required().String()
		cmd.Action(set(func(p *render.Printer) error { return c.Drain(*timeout, *name, *address, verb.draining, p) }))
	}
	serverList := server.Command("list", "List backend servers as one instance sees them.")
	instances(serverList)
	serverList.Action(set(func(p *render.Printer) error { return c.ListServers(*timeout, p) }))
}

func registerConfig(app *kingpin.Application, c *operator.Client, timeout *time.Duration, set setter, instances func(*kingpin.CmdClause)) {
	status := app.Command("status", "Show the members as each instance sees them.")
	instances(status)
	status.Action(set(func(p *render.Printer) error { return c.Status(*timeout, p) }))

	config := app.Command("config", "Inspect the configuration.")
	history := config.Command("history", "List the latest changes.")
	instances(history)
	history.Action(set(func(p *render.Printer) error { return c.History(*timeout, p) }))

	diff := config.Command("diff", "List what changed between two revisions.")
	instances(diff)
	from := diff.Arg("from", "Older revision.").Required().Uint64()
	to := diff.Arg("to", "Newer revision.").Required().Uint64()
	diff.Action(set(func(p *render.Printer) error { return c.Diff(*timeout, *from, *to, p) }))

	wait := config.Command("wait", "Wait until a revision is in force on every instance.")
	instances(wait)
	revision := wait.Arg("revision", "Revision to wait for.").Required().Uint64()
	wait.Action(set(func(p *render.Printer) error { return c.Wait(*timeout, *revision, p) }))
}
