package main

import (
	"context"
	"io"
	"log/slog"
	"net"
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

// newTestGateway returns a gateway that is not running, and the path of its
// settings file.
func newTestGateway(t *testing.T) (*Gateway, string) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	writeFile(t, path, gatewaySettings)
	o, err := parseOptions(path)
	if err != nil {
		t.Fatal(err)
	}
	level := &slog.LevelVar{}
	return newGateway(o, newStoreClient(o.Store.Address, (&net.Dialer{}).DialContext), slog.New(slog.NewTextHandler(io.Discard, nil)), level), path
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestReloadAppliesOnlyReloadableSettings(t *testing.T) {
	g, path := newTestGateway(t)
	writeFile(t, path, strings.NewReplacer(`hedge = true`, `hedge = false`, `17000`, `17100`, `, "127.0.0.1:17003"`, ``).Replace(gatewaySettings)+
		"[log]\nlevel = \"warn\"\n")
	g.reload(path)
	o := g.options.Load()
	if o.Search.Hedge || g.level.Level() != slog.LevelWarn || len(g.seedAddresses()) != 0 {
		t.Fatalf("settings %+v, level %v, seeds %v", o, g.level.Level(), g.seedAddresses())
	}
	if o.Listen.HTTP.Port() != 17000 {
		t.Fatalf("listen port changed to %d without a restart", o.Listen.HTTP.Port())
	}
}

func TestReloadKeepsSettingsAfterAnError(t *testing.T) {
	g, path := newTestGateway(t)
	before := g.options.Load()
	for _, invalid := range []string{"name = ", "nome = \"x\"\n", strings.Replace(gatewaySettings, `"15ms"`, `"soon"`, 1)} {
		writeFile(t, path, invalid)
		g.reload(path)
		if g.options.Load() != before {
			t.Fatalf("applied invalid settings %q", invalid)
		}
	}
}

// The settings must be read again after SIGHUP, and after the file has changed
// without a signal.
func TestSettingsReloadAfterSignalOrFileChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings.toml")
		writeFile(t, path, "a")
		hangup := make(chan os.Signal, 1)
		reloads := 0
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			watchSettings(ctx, path, hangup, func() { reloads++ })
			close(done)
		}()
		time.Sleep(10 * time.Second)
		hangup <- syscall.SIGHUP
		synctest.Wait()
		writeFile(t, path, "longer")
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if reloads != 2 {
			t.Fatalf("%d reloads, want 2", reloads)
		}
	})
}

// A new process must not use the slack of the retry budget in its first window,
// since the process that ran before may have used its whole share.
func TestNewProcessHasNoRetryShareInItsFirstWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGateway(t)
		if g.fleet.size() != 3 || g.fleet.share() > 0 {
			t.Fatalf("size %d, share %v at the start", g.fleet.size(), g.fleet.share())
		}
		window := time.Duration(g.options.Load().RetryBudget.Window)
		time.Sleep(window - time.Millisecond)
		if g.fleet.share() > 0 {
			t.Fatalf("share %v before a window has passed", g.fleet.share())
		}
		time.Sleep(time.Millisecond)
		if g.fleet.size() != 1 || g.fleet.share() != 1 {
			t.Fatalf("size %d, share %v without peers", g.fleet.size(), g.fleet.share())
		}
	})
}
