package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// poisonPrefix precedes the keys under which instances store poison requests.
const poisonPrefix = "lentilward/harmful/"

// poisonKey returns the key of a poison request's record.
func poisonKey(fingerprint uint64) string {
	return poisonPrefix + strconv.FormatUint(fingerprint, 16)
}

// encodePoison encodes the record of a poison request: the number of backend
// servers that were lost while they ran it, and how often it was received.
func encodePoison(crashes, requests uint32) ([]byte, error) {
	return json.Marshal(struct {
		Crashes  uint32 `json:"crashes"`
		Requests uint32 `json:"requests"`
	}{crashes, requests})
}

// decodePoison decodes the key and the value of a poison request's record.
func decodePoison(key string, value []byte) (fingerprint uint64, crashes, requests uint32, err error) {
	var record struct {
		Crashes  uint32 `json:"crashes"`
		Requests uint32 `json:"requests"`
	}
	if fingerprint, err = strconv.ParseUint(strings.TrimPrefix(key, poisonPrefix), 16, 64); err != nil {
		return 0, 0, 0, fmt.Errorf("poison request record: %w", err)
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return 0, 0, 0, fmt.Errorf("poison request record: %w", err)
	}
	return fingerprint, record.Crashes, record.Requests, nil
}
