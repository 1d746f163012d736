package directory

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/mirror"
)

// Guards against records and versions that do not reach the rollouts, and against versions
// that matter without settings for rollouts.
func TestRolloutsGetRecordsAndVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		var keys []string
		versions := make(map[string]map[string]int)
		td.d.Rollouts = &Rollouts{
			Prefixes: []string{"op/rollout/"}, Apply: func(r mirror.Record, _, _ time.Time) { keys = append(keys, r.Key) },
			SetServers: func(s *balance.Service, v map[string]int, _ time.Time) { versions[s.Name] = v },
		}
		td.applyRecords(mirror.Record{Key: "op/rollout/a"}, serverRecord("i-1", nil), serverRecord("i-2", map[string]any{"version": "v2"}),
			serverRecord("i-3", map[string]any{"version": "v2", "state": "draining"}))
		if len(keys) != 1 || keys[0] != "op/rollout/a" || !maps.Equal(versions["a"], map[string]int{"v1": 1, "v2": 1}) {
			t.Errorf("records %v, versions %v", keys, versions)
		}
		td.applyRecords(serverRecord("i-1", map[string]any{"version": "v2"}))
		for _, s := range td.d.Current.Load().Services["a"].Servers() {
			if s.Version != "v2" {
				t.Errorf("server %s still has version %s", s.ID, s.Version)
			}
		}
	})
}
