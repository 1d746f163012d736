package main

import "testing"

func TestPoisonRequestRecordRoundTrip(t *testing.T) {
	value, err := encodePoison(4, 2)
	if err != nil {
		t.Fatal(err)
	}
	fingerprint, crashes, requests, err := decodePoison(poisonKey(1<<63+5), value)
	if err != nil || fingerprint != 1<<63+5 || crashes != 4 || requests != 2 {
		t.Fatal(fingerprint, crashes, requests, err)
	}
	if _, _, _, err := decodePoison(poisonPrefix+"xyz", value); err == nil {
		t.Fatal("accepted a key without a fingerprint")
	}
}

func FuzzDecodePoison(f *testing.F) {
	f.Add([]byte(`{"crashes":4,"requests":2}`))
	f.Fuzz(func(_ *testing.T, data []byte) { decodePoison(poisonKey(9), data) })
}
