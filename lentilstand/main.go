// Command lentilstand runs stand-ins for what surrounds the system: backend
// servers, the key-value service and the instance list.
package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	"lentilward.org/lentilstand/backend"
	"lentilward.org/lentilstand/control"
	"lentilward.org/lentilstand/platform"
	"lentilward.org/lentilstand/site"
	"lentilward.org/schema/standpb"
)

func main() {
	app := kingpin.New("lentilstand", "Stand-ins for backend servers and the platform.")
	run := app.Command("run", "Run the stand-ins of a site.")
	runSite := run.Arg("site", "Site file.").Required().ExistingFile()
	listen := run.Flag("listen", "Address of the control interface.").Default("127.0.0.1:19000").String()
	store := run.Flag("store", "Address of the platform's store, over HTTP.").Default("127.0.0.1:19001").String()
	seed := run.Flag("seed", "Seed of all random draws.").Default("1").Uint64()
	services := app.Command("services", "Print a site's services as TOML for lentilctl service apply.")
	servicesSite := services.Arg("site", "Site file.").Required().ExistingFile()

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		err = runStand(*runSite, *listen, *store, *seed)
	case services.FullCommand():
		err = printServices(*servicesSite)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilstand:", err)
		os.Exit(1)
	}
}

// headerTimeout bounds the header of a call to the store.
const headerTimeout = 5 * time.Second

func runStand(path, listen, storeAddress string, seed uint64) error {
	s, err := site.Read(path)
	if err != nil {
		return err
	}
	var servers []*backend.Server
	for _, d := range s.Servers() {
		b := backend.New(d, time.Duration(s.NetworkDelay), seed)
		if err := b.Start(); err != nil {
			return merry.Prepend(err, "backend server "+d.Address.String())
		}
		servers = append(servers, b)
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return merry.Wrap(err)
	}
	storeListener, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return merry.Wrap(err)
	}
	store := platform.New(seed)
	h := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: headerTimeout}
	go h.Serve(storeListener)
	g := grpc.NewServer()
	standpb.RegisterStandServer(g, control.New(servers, store))
	go g.Serve(l)
	slog.Info("stand-ins ready", "site", s.Name, "backend-servers", len(servers), "listen", listen, "store", storeAddress)

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	c := store.Counts()
	slog.Info("platform calls", "reads", c.Reads, "writes", c.Writes, "waits", c.Waits, "refused", c.Refused)
	g.Stop()
	h.Close()
	for _, b := range servers {
		b.Stop()
	}
	return nil
}

// printServices writes the services file of a site.
func printServices(path string) error {
	s, err := site.Read(path)
	if err != nil {
		return err
	}
	last := ""
	for _, b := range s.Servers() {
		if b.Service != last {
			fmt.Printf("\n[[services]]\nname = %q\nshards = %d\npriority = %d\nhedge-budget = 0.05\n",
				b.Service, b.Group.Shards, b.Group.Priority)
			last = b.Service
		}
		fmt.Printf("\n[[services.backend-servers]]\naddress = %q\ndata-centre = %q\nslots = %d\nconnections = %d\ncold-limit = %d\n",
			b.Address, b.DataCentre, b.Group.Slots, b.Group.Connections, b.Group.ColdBears)
	}
	return nil
}
