// Command lentilward runs one instance of the query tier between callers and
// backend servers. All instances have the same role.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/do/v2"
)

func main() {
	app := kingpin.New("lentilward", "One instance of the query tier.")
	run := app.Command("run", "Run the instance.").Default()
	runFile := run.Flag("settings", "Settings file.").Short('s').Envar(settingsFileVariable).Required().String()
	check := app.Command("check", "Check a settings file and exit.")
	checkFile := check.Arg("file", "Settings file.").Required().String()

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	path := *runFile
	if command == check.FullCommand() {
		path = *checkFile
	}
	options, err := parseOptions(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilward:", err)
		os.Exit(exitInvalidSettings)
	}
	if command == check.FullCommand() {
		return
	}
	if err := serve(path, options); err != nil {
		fmt.Fprintln(os.Stderr, "lentilward:", err)
		os.Exit(exitFailure)
	}
}

// serve runs the instance until SIGTERM or SIGINT, then shuts it down
// gracefully. Further signals do not cut the shutdown short, since requests
// may still be in flight.
func serve(path string, options *Options) error {
	stopCtx, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancelStop()
	processCtx, cancelProcess := context.WithCancel(context.Background())
	defer cancelProcess()
	if options.OnPlatform() {
		return serveOnPlatform(path, options, processCtx, stopCtx)
	}
	injector := do.New()
	do.ProvideValue(injector, options)
	provide(injector, processCtx)
	core, err := do.Invoke[*Core](injector)
	if err != nil {
		return err
	}
	return core.Run(processCtx, stopCtx)
}

// serveOnPlatform runs an instance on the platform and reloads its settings
// after SIGHUP or a change of the file.
func serveOnPlatform(path string, options *Options, processCtx, stopCtx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	level := &slog.LevelVar{}
	out := newLogWriter(os.Stdout)
	defer out.Close()
	g := newGateway(options, newStoreClient(options.Store.Address, (&net.Dialer{}).DialContext), newLog(options, out, level), level)
	if g.rollouts != nil {
		g.rollouts.local.Now = bootClock
	}
	go watchSettings(processCtx, path, hangup, func() { g.reload(path) })
	return g.Run(processCtx, stopCtx)
}
