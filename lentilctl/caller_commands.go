package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/caller"
	"lentilward.org/lentilctl/render"
)

type actionSetter func(func(*render.Printer) error) kingpin.Action

// registerCallerCommands adds the commands for callers to app.
func registerCallerCommands(app *kingpin.Application, timeout *time.Duration, setAction actionSetter) {
	var c caller.Client
	addRequestFlags := func(cmd *kingpin.CmdClause) {
		cmd.Flag("instance", "Caller address of an instance, IP:port; may be repeated.").Short('i').
			Envar("LENTILWARD_CALLERS").Default("127.0.0.1:18001").StringsVar(&c.Instances)
		cmd.Flag("caller", "Name of the caller.").Default("lentilctl").StringVar(&c.Caller)
		cmd.Flag("class", "Class of the request: urgent, interactive or background.").Default("interactive").
			EnumVar(&c.Class, "urgent", "interactive", "background")
		cmd.Flag("request-id", "Id of the request; generated if absent.").StringVar(&c.RequestID)
	}
	search := app.Command("search", "Search services.")
	addRequestFlags(search)
	var options caller.SearchOptions
	search.Flag("service", "Service to search; may be repeated. All services if absent.").Short('s').StringsVar(&options.Services)
	search.Flag("least-coverage", "Minimum share of shards, 0 to 1, that the answer must cover.").Default("1").Float64Var(&options.MinCoverage)
	search.Flag("matches", "Maximum number of matches to print.").Default("10").IntVar(&options.MaxMatches)
	search.Arg("query", "Text of the query.").Required().StringVar(&options.Query)
	search.Action(setAction(func(p *render.Printer) error { return c.Search(*timeout, options, p) }))

	execute := app.Command("execute", "Run a non-idempotent request at most once.")
	addRequestFlags(execute)
	service := execute.Arg("service", "Service that runs the request.").Required().String()
	payload := execute.Arg("payload", "Payload of the request.").Required().String()
	execute.Action(setAction(func(p *render.Printer) error { return c.Execute(*timeout, *service, *payload, p) }))
}
