package main

import (
	"context"
	"os"
	"time"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes that were made without a signal.
const settingsPollInterval = 2 * time.Second

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

func readFileVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// watchSettings calls reload when the settings file has changed and on each
// signal from hangup, until the context ends.
func watchSettings(ctx context.Context, path string, hangup <-chan os.Signal, reload func()) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := readFileVersion(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
			if readFileVersion(path) == last {
				continue
			}
		}
		last = readFileVersion(path)
		reload()
	}
}

// reload reads the settings file and applies the settings that can change while
// the instance runs. After an error the current settings stay in force.
func (g *Gateway) reload(path string) {
	next, err := parseOptions(path)
	if err != nil {
		g.log.Error("reloading the settings failed; the current settings stay in force", "error", err)
		return
	}
	current := g.options.Load()
	if next.Listen != current.Listen || next.Store != current.Store || next.Name != current.Name || next.DataCentre != current.DataCentre {
		g.log.Warn("changes of name, data centre and addresses take effect only after a restart")
		next.Name, next.DataCentre, next.Listen, next.Store = current.Name, current.DataCentre, current.Listen, current.Store
	}
	g.options.Store(next)
	g.applySettings()
	g.log.Info("settings reloaded", "path", path)
}
