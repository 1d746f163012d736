package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/samber/do/v2"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/caller"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/operator"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/registration"
	"lentilward.org/lentilward/store"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/platform"
)

// provide registers the constructors of all components with the injector.
// processCtx ends with the process.
func provide(i do.Injector, processCtx context.Context) {
	do.Provide(i, func(i do.Injector) (*slog.Logger, error) {
		o := do.MustInvoke[*Options](i)
		return newLog(o, os.Stderr, logLevels[o.Log.Level]), nil
	})
	do.Provide(i, func(i do.Injector) (*blackboard.Board, error) {
		o := do.MustInvoke[*Options](i)
		return blackboard.New(blackboard.LocalInstance{Name: o.Name, DataCentre: o.DataCentre}), nil
	})
	do.Provide(i, func(i do.Injector) (backend.Policy, error) {
		return backend.Policy{Plain: do.MustInvoke[*Options](i).Policy.FanOut == "plain"}, nil
	})
	provideBackend(i, processCtx)
	providePlatform(i)
	providePeer(i)
	provideServers(i)
	do.Provide(i, newCore)
}

func provideBackend(i do.Injector, processCtx context.Context) {
	do.Provide(i, func(i do.Injector) (*fleet.Fleet, error) {
		f := fleet.New(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*slog.Logger](i))
		f.Wake = do.MustInvoke[*backend.Runner](i).Wake
		return f, nil
	})
	do.Provide(i, func(i do.Injector) (*backend.Runner, error) {
		o := do.MustInvoke[*Options](i)
		return backend.New(processCtx, o.Name, do.MustInvoke[backend.Policy](i)), nil
	})
}

func providePlatform(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*platform.Store, error) {
		return newStoreClient(do.MustInvoke[*Options](i).Store.Address, (&net.Dialer{}).DialContext), nil
	})
	do.Provide(i, func(i do.Injector) (*store.KeyValue, error) {
		return store.NewKeyValue(do.MustInvoke[*platform.Store](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*registration.Registrar, error) {
		o := do.MustInvoke[*Options](i)
		return newRegistrar(do.MustInvoke[*platform.Store](i), o.Name, o.Listen.Peers, do.MustInvoke[*slog.Logger](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*store.Store, error) {
		return store.NewStore(do.MustInvoke[*store.KeyValue](i), do.MustInvoke[*blackboard.Board](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*store.Watcher, error) {
		return store.NewWatcher(do.MustInvoke[*store.Store](i), do.MustInvoke[*blackboard.Board](i),
			do.MustInvoke[*slog.Logger](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*store.Claims, error) {
		return store.NewClaims(do.MustInvoke[*store.KeyValue](i), do.MustInvoke[*Options](i).Name, do.MustInvoke[*slog.Logger](i)), nil
	})
}

func providePeer(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*member.Table, error) {
		o := do.MustInvoke[*Options](i)
		self := blackboard.Member{
			Name: o.Name, Address: o.Listen.Peers, DataCentre: o.DataCentre,
			Incarnation: uint64(time.Now().UnixMilli()),
		}
		return member.NewTable(do.MustInvoke[*blackboard.Board](i), self, time.Now), nil
	})
	do.Provide(i, func(i do.Injector) (*member.Prober, error) {
		return member.NewProber(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*member.Table](i)), nil
	})
	do.ProvideValue(i, &peer.Traffic{})
	do.Provide(i, func(i do.Injector) (*peer.Links, error) {
		links := peer.NewLinks(do.MustInvoke[*peer.Traffic](i))
		links.OnSilent = logSilentPeer(do.MustInvoke[*slog.Logger](i))
		return links, nil
	})
	do.Provide(i, func(i do.Injector) (*peer.Permits, error) {
		return peer.NewPermits(do.MustInvoke[*blackboard.Board](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*peer.Server, error) {
		return peer.NewServer(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*peer.Permits](i),
			do.MustInvoke[*peer.Traffic](i), do.MustInvoke[*slog.Logger](i)), nil
	})
}

func provideServers(i do.Injector) {
	do.Provide(i, func(do.Injector) (*monitor.Metrics, error) { return monitor.NewMetrics(), nil })
	do.Provide(i, func(i do.Injector) (*suspect.List, error) {
		return suspect.New(do.MustInvoke[*blackboard.Board](i), suspect.MaxCrashes), nil
	})
	do.Provide(i, func(i do.Injector) (*caller.Server, error) {
		return caller.New(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*backend.Runner](i),
			do.MustInvoke[*store.Claims](i), do.MustInvoke[*suspect.List](i),
			do.MustInvoke[*monitor.Metrics](i), do.MustInvoke[backend.Policy](i), do.MustInvoke[*slog.Logger](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*operator.Server, error) {
		return operator.New(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*store.Store](i),
			do.MustInvoke[*slog.Logger](i)), nil
	})
}
