package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"lentilward.org/lentilward/blackboard"
)

// poisonPrefix precedes the keys under which instances store poison requests.
const poisonPrefix = "lentilward/harmful/"

// poisonRecord is the record of a request that is refused: whether it had run well before
// it lost servers, and the trials since.
type poisonRecord struct {
	Proven bool `json:"proven"`
	Trials int  `json:"trials"`
}

// poisonKey returns the key of a poison request's record.
func poisonKey(fingerprint uint64) string {
	return poisonPrefix + strconv.FormatUint(fingerprint, 16)
}

// encodePoison encodes the record of a poison request.
func encodePoison(r blackboard.SuspectRequest) ([]byte, error) {
	return json.Marshal(poisonRecord{Proven: r.Proven, Trials: r.Trials})
}

// decodePoison decodes the key and the value of a poison request's record.
func decodePoison(key string, value []byte) (fingerprint uint64, record poisonRecord, err error) {
	if fingerprint, err = strconv.ParseUint(strings.TrimPrefix(key, poisonPrefix), 16, 64); err != nil {
		return 0, poisonRecord{}, fmt.Errorf("poison request record: %w", err)
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return 0, poisonRecord{}, fmt.Errorf("poison request record: %w", err)
	}
	return fingerprint, record, nil
}
