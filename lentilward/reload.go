package main

import (
	"context"
	"os"
	"time"
)

// reloadPeriod is the time between two looks at whether the settings file has
// changed without a signal.
const reloadPeriod = 2 * time.Second

// fileState tells versions of a file apart.
type fileState struct {
	modified time.Time
	size     int64
}

func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.ModTime(), info.Size()}
}

// watchSettings calls changed once the settings file has changed, or a signal
// says so, until the context ends.
func watchSettings(ctx context.Context, path string, hangup <-chan os.Signal, changed func()) {
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	last := stateOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
			if stateOf(path) == last {
				continue
			}
		}
		last = stateOf(path)
		changed()
	}
}

// reload takes over the settings that can change while the instance runs.
// After an error the old ones stay.
func (g *Gateway) reload(path string) {
	next, err := parseOptions(path)
	if err != nil {
		g.log.Error("cannot read the changed settings, the old ones stay", "error", err)
		return
	}
	old := g.options.Load()
	if next.Listen != old.Listen || next.Store != old.Store || next.Name != old.Name || next.DataCentre != old.DataCentre {
		g.log.Warn("name, data centre and addresses change with the next start only")
		next.Name, next.DataCentre, next.Listen, next.Store = old.Name, old.DataCentre, old.Listen, old.Store
	}
	g.options.Store(next)
	g.applySettings()
	g.log.Info("settings in force", "path", path)
}
