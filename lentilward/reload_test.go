package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const gatewaySettings = `name = "one"
data-centre = "north"
peers = ["127.0.0.1:17002", "127.0.0.1:17003"]
memory-mib = 200
[listen]
http = "127.0.0.1:17000"
readiness = "127.0.0.1:17001"
peers = "127.0.0.1:17002"
monitor = "127.0.0.1:17004"
[store]
address = "127.0.0.1:17005"
[search]
hedge = true
answer-margin = "15ms"
`

// newTestGateway returns a gateway that does not run, and its settings file.
func newTestGateway(t *testing.T) (*Gateway, string) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write(t, path, gatewaySettings)
	o, err := parseOptions(path)
	if err != nil {
		t.Fatal(err)
	}
	level := &slog.LevelVar{}
	return newGateway(o, newStoreClient(o.Store.Address), slog.New(slog.NewTextHandler(io.Discard, nil)), level), path
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestReloadTakesOverWhatMayChange(t *testing.T) {
	g, path := newTestGateway(t)
	write(t, path, strings.NewReplacer(`hedge = true`, `hedge = false`, `17000`, `17100`, `, "127.0.0.1:17003"`, ``).Replace(gatewaySettings)+
		"[log]\nlevel = \"warn\"\n")
	g.reload(path)
	o := g.options.Load()
	if o.Search.Hedge || g.level.Level() != slog.LevelWarn || len(g.seeds()) != 0 {
		t.Fatalf("settings %+v, level %v, seeds %v", o, g.level.Level(), g.seeds())
	}
	if o.Listen.HTTP.Port() != 17000 {
		t.Fatalf("listens at port %d without a start", o.Listen.HTTP.Port())
	}
}

func TestReloadKeepsOldSettingsAfterAnError(t *testing.T) {
	g, path := newTestGateway(t)
	old := g.options.Load()
	for _, broken := range []string{"name = ", "nome = \"x\"\n", strings.Replace(gatewaySettings, `"15ms"`, `"soon"`, 1)} {
		write(t, path, broken)
		g.reload(path)
		if g.options.Load() != old {
			t.Fatalf("took over %q", broken)
		}
	}
}

// Settings are read anew after a signal, and after a change without one.
func TestSettingsAreWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings.toml")
		write(t, path, "a")
		hangup := make(chan os.Signal, 1)
		changes := 0
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			watchSettings(ctx, path, hangup, func() { changes++ })
			close(done)
		}()
		time.Sleep(10 * time.Second)
		hangup <- syscall.SIGHUP
		synctest.Wait()
		write(t, path, "longer")
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if changes != 2 {
			t.Fatalf("%d changes seen, want 2", changes)
		}
	})
}

// A process that has just started spends nothing of the slack for a window: the
// one before it may have spent all of its part.
func TestNewProcessSpendsNoSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGateway(t)
		if g.fleet.size() != 3 || g.fleet.share() > 0 {
			t.Fatalf("size %d, share %v at the start", g.fleet.size(), g.fleet.share())
		}
		window := time.Duration(g.options.Load().Repeats.Window)
		time.Sleep(window - time.Millisecond)
		if g.fleet.share() > 0 {
			t.Fatalf("share %v before a window has passed", g.fleet.share())
		}
		time.Sleep(time.Millisecond)
		if g.fleet.size() != 1 || g.fleet.share() != 1 {
			t.Fatalf("size %d, share %v alone", g.fleet.size(), g.fleet.share())
		}
	})
}
