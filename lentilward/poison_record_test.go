package main

import (
	"testing"

	"lentilward.org/lentilward/blackboard"
)

func TestPoisonRequestRecordRoundTrip(t *testing.T) {
	value, err := encodePoison(blackboard.SuspectRequest{Proven: true, Trials: 2})
	if err != nil {
		t.Fatal(err)
	}
	fingerprint, record, err := decodePoison(poisonKey(1<<63+5), value)
	if err != nil || fingerprint != 1<<63+5 || record != (poisonRecord{Proven: true, Trials: 2}) {
		t.Fatal(fingerprint, record, err)
	}
	if _, _, err := decodePoison(poisonPrefix+"xyz", value); err == nil {
		t.Fatal("accepted a key without a fingerprint")
	}
}

func FuzzDecodePoison(f *testing.F) {
	f.Add([]byte(`{"proven":true,"trials":2}`))
	f.Fuzz(func(_ *testing.T, data []byte) { decodePoison(poisonKey(9), data) })
}
