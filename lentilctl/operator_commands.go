package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/operator"
	"lentilward.org/lentilctl/render"
)

// registerOperatorCommands adds the commands for operators to app.
func registerOperatorCommands(app *kingpin.Application, timeout *time.Duration, setAction actionSetter) {
	var c operator.Client
	addInstanceFlag := func(cmd *kingpin.CmdClause) {
		cmd.Flag("instance", "Operator address of an instance, IP:port; may be repeated.").Short('i').
			Envar("LENTILWARD_OPERATORS").Default("127.0.0.1:18101").StringsVar(&c.Instances)
	}
	addChangeFlags := func(cmd *kingpin.CmdClause) {
		addInstanceFlag(cmd)
		cmd.Flag("change-id", "Id of the change; generated if absent.").StringVar(&c.ChangeID)
		cmd.Flag("from-revision", "Revision that the change is based on; a later change of the same subject is then a conflict.").Default("-1").Int64Var(&c.FromRevision)
		cmd.Flag("author", "Author that the history records for the change.").Envar("USER").StringVar(&c.Author)
	}
	registerServiceCommands(app, &c, timeout, setAction, addInstanceFlag, addChangeFlags)
	registerTopologyCommands(app, &c, timeout, setAction, addInstanceFlag, addChangeFlags)
	registerStateCommands(app, &c, timeout, setAction, addInstanceFlag)
	registerTenantCommands(app, timeout, setAction)
}

func registerServiceCommands(app *kingpin.Application, c *operator.Client, timeout *time.Duration, setAction actionSetter, addInstanceFlag, addChangeFlags func(*kingpin.CmdClause)) {
	service := app.Command("service", "Create, change, show and remove services.")
	for _, verb := range []struct {
		name, help string
		createOnly bool
	}{
		{"create", "Create the services listed in a file.", true},
		{"apply", "Create or change the services listed in a file.", false},
	} {
		cmd := service.Command(verb.name, verb.help)
		addChangeFlags(cmd)
		file := cmd.Arg("file", "TOML file with services.").Required().String()
		cmd.Action(setAction(func(p *render.Printer) error { return c.Apply(*timeout, *file, verb.createOnly, p) }))
	}
	list := service.Command("list", "List services.")
	addInstanceFlag(list)
	list.Action(setAction(func(p *render.Printer) error { return c.ListServices(*timeout, p) }))

	show := service.Command("show", "Show one service.")
	addInstanceFlag(show)
	showName := show.Arg("name", "Name of the service.").Required().String()
	show.Action(setAction(func(p *render.Printer) error { return c.ShowService(*timeout, *showName, p) }))

	remove := service.Command("remove", "Remove a service.")
	addChangeFlags(remove)
	removeName := remove.Arg("name", "Name of the service.").Required().String()
	remove.Action(setAction(func(p *render.Printer) error { return c.RemoveService(*timeout, *removeName, p) }))
}

func registerTopologyCommands(app *kingpin.Application, c *operator.Client, timeout *time.Duration, setAction actionSetter, addInstanceFlag, addChangeFlags func(*kingpin.CmdClause)) {
	dc := app.Command("data-centre", "Withdraw, return and list data centres.")
	for _, verb := range []struct {
		name, help string
		withdrawn  bool
	}{
		{"withdraw", "Take a data centre out of service.", true},
		{"return", "Return a data centre to service.", false},
	} {
		cmd := dc.Command(verb.name, verb.help)
		addChangeFlags(cmd)
		name := cmd.Arg("name", "Name of the data centre.").Required().String()
		cmd.Action(setAction(func(p *render.Printer) error { return c.SetDataCentre(*timeout, *name, verb.withdrawn, p) }))
	}
	dcList := dc.Command("list", "List data centres.")
	addInstanceFlag(dcList)
	dcList.Action(setAction(func(p *render.Printer) error { return c.ListDataCentres(*timeout, p) }))

	server := app.Command("backend-server", "Drain and list backend servers.")
	for _, verb := range []struct {
		name, help string
		draining   bool
	}{
		{"drain", "Take a backend server out of service.", true},
		{"undrain", "Return a backend server to service.", false},
	} {
		cmd := server.Command(verb.name, verb.help)
		addChangeFlags(cmd)
		name := cmd.Arg("service", "Service of the backend server.").Required().String()
		address := cmd.Arg("address", "Address of the backend server, IP:port.").Required().String()
		cmd.Action(setAction(func(p *render.Printer) error { return c.Drain(*timeout, *name, *address, verb.draining, p) }))
	}
	serverList := server.Command("list", "List backend servers as observed by one instance.")
	addInstanceFlag(serverList)
	serverList.Action(setAction(func(p *render.Printer) error { return c.ListServers(*timeout, p) }))
}

func registerStateCommands(app *kingpin.Application, c *operator.Client, timeout *time.Duration, setAction actionSetter, addInstanceFlag func(*kingpin.CmdClause)) {
	status := app.Command("status", "Show the members as observed by each instance.")
	addInstanceFlag(status)
	status.Action(setAction(func(p *render.Printer) error { return c.Status(*timeout, p) }))

	config := app.Command("config", "Inspect the configuration.")
	history := config.Command("history", "List the latest changes.")
	addInstanceFlag(history)
	history.Action(setAction(func(p *render.Printer) error { return c.History(*timeout, p) }))

	diff := config.Command("diff", "List the changes between two revisions.")
	addInstanceFlag(diff)
	from := diff.Arg("from", "Older revision.").Required().Uint64()
	to := diff.Arg("to", "Newer revision.").Required().Uint64()
	diff.Action(setAction(func(p *render.Printer) error { return c.Diff(*timeout, *from, *to, p) }))

	wait := config.Command("wait", "Wait until a revision is in force on every instance.")
	addInstanceFlag(wait)
	revision := wait.Arg("revision", "Revision to wait for.").Required().Uint64()
	wait.Action(setAction(func(p *render.Printer) error { return c.Wait(*timeout, *revision, p) }))
}
