package main

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/platform"
)

// Guards against a number of instances that nobody records any more after the store has come
// back from a copy without the record, or that stays wrong because another record has been
// given the revision of the one from before.
func TestFleetRecordIsCorrectedAfterStoreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newScarcePlatform(t, holderConnections)
		p.start(t, holderInstances)
		without := p.store.TakeCopy()
		time.Sleep(2 * time.Minute)
		recorded := func() (platform.Item, fleetRecord) {
			t.Helper()
			item, err := p.client.Get(p.ctx, fleetKey)
			if err != nil {
				t.Fatal(err)
			}
			var record fleetRecord
			if err := json.Unmarshal(item.Value, &record); err != nil {
				t.Fatal(err)
			}
			return item, record
		}
		before, _ := recorded()
		p.returnFrom(without)
		time.Sleep(10 * time.Second)
		present, _ := recorded()
		if string(present.Value) != string(before.Value) {
			t.Errorf("record %s after the return, want %s", present.Value, before.Value)
		}
		p.store.Restore(without)
		for {
			p.write(t, fleetKey, `{"instances":3,"data-centres":{"z1":3},"holders":[]}`)
			if item, _ := recorded(); item.Revision >= present.Revision {
				t.Logf("record of the copy at %d, that of before at %d", item.Revision, present.Revision)
				break
			}
		}
		time.Sleep(fleetWriteDelay + 2*fleetCheckInterval)
		after, record := recorded()
		if record.Instances != holderInstances {
			t.Errorf("record %s after the second return, want %s", after.Value, before.Value)
		}
		time.Sleep(5 * time.Minute)
		if later, _ := recorded(); later.Revision != after.Revision {
			t.Errorf("written again at %d after %d", later.Revision, after.Revision)
		}
	})
}
