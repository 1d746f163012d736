package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lentilward.org/lentilctl/caller"
	"lentilward.org/lentilctl/render"
)

type setter func(func(*render.Printer) error) kingpin.Action

// registerCaller adds the commands of callers.
func registerCaller(app *kingpin.Application, timeout *time.Duration, set setter) {
	var c caller.Client
	common := func(cmd *kingpin.CmdClause) {
		cmd.Flag("instance", "Caller address of an instance, IP:port; may be repeated.").Short('i').
			Envar("LENTILWARD_CALLERS").Default("127.0.0.1:18001").StringsVar(&c.Instances)
		cmd.Flag("caller", "Name of the caller.").Default("lentilctl").StringVar(&c.Caller)
		cmd.Flag("class", "urgent, interactive or background.").Default("interactive").
			EnumVar(&c.Class, "urgent", "interactive", "background")
		cmd.Flag("request-id", "Id of the request; made up if absent.").StringVar(&c.RequestID)
	}
	search := app.Command("search", "Search services.")
	common(search)
	var s caller.Search
	search.Flag("service", "Service to search; may be repeated. All if absent.").Short('s').StringsVar(&s.Services)
	search.Flag("least-coverage", "Least share of shards accepted.").Default("1").Float64Var(&s.LeastCoverage)
	search.Flag("matches", "Number of matches to print.").Default("10").IntVar(&s.Matches)
	search.Arg("query", "What to search for.").Required().StringVar(&s.Query)
	search.Action(set(func(p *render.Printer) error { return c.Search(*timeout, s, p) }))

	execute := app.Command("execute", "Run a non-idempotent request at most once.")
	common(execute)
	service := execute.Arg("service", "Service to run it on.").Required().String()
	payload := execute.Arg("payload", "The request.").Required().String()
	execute.Action(set(func(p *render.Printer) error { return c.Execute(*timeout, *service, *payload, p) }))
}
