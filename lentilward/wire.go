package main

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"
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
	"lentilward.org/lentilward/platform"
	"lentilward.org/lentilward/suspect"
)

// platformServices are the services at the platform's address.
type platformServices struct {
	keyValue  *platform.KeyValue
	instances platform.List
	calls     *atomic.Int64
}

// provide registers how each component is made. Life ends with the process.
func provide(i do.Injector, life context.Context) {
	do.Provide(i, func(i do.Injector) (*slog.Logger, error) {
		o := do.MustInvoke[*Options](i)
		return newLog(o, os.Stderr, logLevels[o.Log.Level]), nil
	})
	do.Provide(i, func(i do.Injector) (*blackboard.Board, error) {
		o := do.MustInvoke[*Options](i)
		return blackboard.New(blackboard.Own{Name: o.Name, DataCentre: o.DataCentre}), nil
	})
	do.Provide(i, func(i do.Injector) (backend.Policy, error) {
		return backend.Policy{Plain: do.MustInvoke[*Options](i).Policy.FanOut == "plain"}, nil
	})
	provideBackend(i, life)
	providePlatform(i)
	providePeer(i)
	provideServers(i)
	do.Provide(i, newCore)
}

func provideBackend(i do.Injector, life context.Context) {
	do.Provide(i, func(i do.Injector) (*fleet.Fleet, error) {
		f := fleet.New(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*slog.Logger](i))
		f.Wake = do.MustInvoke[*backend.Runner](i).Wake
		return f, nil
	})
	do.Provide(i, func(i do.Injector) (*backend.Runner, error) {
		o := do.MustInvoke[*Options](i)
		return backend.New(life, o.Name, do.MustInvoke[backend.Policy](i)), nil
	})
}

func providePlatform(i do.Injector) {
	do.Provide(i, func(i do.Injector) (platformServices, error) {
		calls := new(atomic.Int64)
		kv, list, err := platform.Dial(do.MustInvoke[*Options](i).Platform.Address, calls)
		return platformServices{kv, list, calls}, err
	})
	do.Provide(i, func(i do.Injector) (*platform.Store, error) {
		return platform.NewStore(do.MustInvoke[platformServices](i).keyValue, do.MustInvoke[*blackboard.Board](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*platform.Watcher, error) {
		return platform.NewWatcher(do.MustInvoke[*platform.Store](i), do.MustInvoke[*blackboard.Board](i),
			do.MustInvoke[*slog.Logger](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*platform.Claims, error) {
		return platform.NewClaims(do.MustInvoke[platformServices](i).keyValue, do.MustInvoke[*Options](i).Name), nil
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
		return peer.NewLinks(do.MustInvoke[*peer.Traffic](i)), nil
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
		return suspect.New(do.MustInvoke[*blackboard.Board](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*caller.Server, error) {
		return caller.New(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*backend.Runner](i),
			do.MustInvoke[*platform.Claims](i), do.MustInvoke[*suspect.List](i),
			do.MustInvoke[*monitor.Metrics](i), do.MustInvoke[backend.Policy](i), do.MustInvoke[*slog.Logger](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*operator.Server, error) {
		return operator.New(do.MustInvoke[*blackboard.Board](i), do.MustInvoke[*platform.Store](i),
			do.MustInvoke[*slog.Logger](i)), nil
	})
}
