package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Any settings file must either be rejected with an error or give settings that
// can be used.
func FuzzSettings(f *testing.F) {
	for _, path := range []string{"../config/trondelag.toml", "../config/zurich.toml"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("name = 1\n[listen]\nhttp = \"x\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := parseOptions(path)
		if err != nil {
			return
		}
		if o.Stop.Grace <= 0 || o.RetryBudget.Window <= 0 || o.RetryBudget.Slack < 0 || !o.Listen.Peers.IsValid() || !o.Store.Address.IsValid() {
			t.Fatalf("accepted invalid settings %+v", o)
		}
	})
}
