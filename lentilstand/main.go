// Command lentilstand runs stand-ins for the environment of the system: backend
// servers and the platform's key-value service.
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
	app := kingpin.New("lentilstand", "Simulates backend servers and the platform's key-value service.")
	run := app.Command("run", "Run the backend servers and the key-value service of a site.")
	runSite := run.Arg("site", "Site file.").Required().ExistingFile()
	listen := run.Flag("listen", "Address of the control interface.").Default("127.0.0.1:19000").String()
	store := run.Flag("store", "HTTP address of the key-value service.").Default("127.0.0.1:19001").String()
	seed := run.Flag("seed", "Seed of the random numbers.").Default("1").Uint64()
	services := app.Command("services", "Print a site's services as TOML for lentilctl service apply.")
	servicesSite := services.Arg("site", "Site file.").Required().ExistingFile()

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		err = runStandIns(*runSite, *listen, *store, *seed)
	case services.FullCommand():
		err = printServices(*servicesSite)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilstand:", err)
		os.Exit(1)
	}
}

// readHeaderTimeout bounds how long the key-value service waits for the header of a
// call.
const readHeaderTimeout = 5 * time.Second

func runStandIns(path, listen, storeAddress string, seed uint64) error {
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
	controlListener, err := net.Listen("tcp", listen)
	if err != nil {
		return merry.Wrap(err)
	}
	storeListener, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return merry.Wrap(err)
	}
	store := platform.New(seed)
	httpServer := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go httpServer.Serve(storeListener)
	grpcServer := grpc.NewServer()
	standpb.RegisterStandServer(grpcServer, control.New(servers, store))
	go grpcServer.Serve(controlListener)
	slog.Info("stand-ins started", "site", s.Name, "backend-servers", len(servers), "listen", listen, "store", storeAddress)

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	counts := store.Counts()
	slog.Info("calls to the key-value service", "reads", counts.Reads, "writes", counts.Writes, "watches", counts.Watches, "refused", counts.Refused)
	grpcServer.Stop()
	httpServer.Close()
	for _, b := range servers {
		b.Stop()
	}
	return nil
}

// printServices prints the services of a site as a TOML file for lentilctl.
func printServices(path string) error {
	s, err := site.Read(path)
	if err != nil {
		return err
	}
	previous := ""
	for _, b := range s.Servers() {
		if b.Service != previous {
			fmt.Printf("\n[[services]]\nname = %q\nshards = %d\npriority = %d\nhedge-budget = 0.05\n",
				b.Service, b.Group.Shards, b.Group.Priority)
			previous = b.Service
		}
		fmt.Printf("\n[[services.backend-servers]]\naddress = %q\ndata-centre = %q\nslots = %d\nconnections = %d\ncold-limit = %d\n",
			b.Address, b.DataCentre, b.Group.Slots, b.Group.Connections, b.Group.ColdLimit)
	}
	return nil
}
