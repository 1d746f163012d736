// Command lentilstand runs stand-ins for what surrounds the system: backend
// servers, the key-value service and the instance list.
package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	"lentilward.org/lentilstand/backend"
	"lentilward.org/lentilstand/control"
	"lentilward.org/lentilstand/platform"
	"lentilward.org/lentilstand/site"
	"lentilward.org/schema/platformpb"
	"lentilward.org/schema/standpb"
)

func main() {
	app := kingpin.New("lentilstand", "Stand-ins for backend servers and the platform.")
	run := app.Command("run", "Run the stand-ins of a site.")
	runSite := run.Arg("site", "Site file.").Required().ExistingFile()
	listen := run.Flag("listen", "Address of the platform and control interface.").Default("127.0.0.1:19000").String()
	seed := run.Flag("seed", "Seed of all random draws.").Default("1").Uint64()
	list := run.Flag("instance", "Instance in the platform's list, as name=IP:port,data-centre.").Strings()
	services := app.Command("services", "Print a site's services as TOML for lentilctl service apply.")
	servicesSite := services.Arg("site", "Site file.").Required().ExistingFile()

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		err = runStand(*runSite, *listen, *seed, *list)
	case services.FullCommand():
		err = printServices(*servicesSite)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilstand:", err)
		os.Exit(1)
	}
}

func runStand(path, listen string, seed uint64, list []string) error {
	s, err := site.Read(path)
	if err != nil {
		return err
	}
	instances, err := parseInstances(list)
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
	keyValue := platform.New(seed)
	g := grpc.NewServer()
	platformpb.RegisterKeyValueServer(g, keyValue)
	platformpb.RegisterInstancesServer(g, platform.NewInstances(instances))
	standpb.RegisterStandServer(g, control.New(servers, keyValue))
	go g.Serve(l)
	slog.Info("stand-ins ready", "site", s.Name, "backend-servers", len(servers), "listen", listen)

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	c := keyValue.Counts()
	slog.Info("platform calls", "reads", c.Reads, "writes", c.Writes, "waits", c.Waits, "refused", c.Refused)
	g.Stop()
	for _, b := range servers {
		b.Stop()
	}
	return nil
}

func parseInstances(list []string) ([]*platformpb.Instance, error) {
	var instances []*platformpb.Instance
	for _, text := range list {
		name, rest, ok := strings.Cut(text, "=")
		address, dataCentre, ok2 := strings.Cut(rest, ",")
		if !ok || !ok2 {
			return nil, merry.Errorf("instance %q: want name=IP:port,data-centre", text)
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, merry.Prependf(err, "instance %q", text)
		}
		instances = append(instances, &platformpb.Instance{Name: name, PeerAddress: address, DataCentre: dataCentre})
	}
	return instances, nil
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
