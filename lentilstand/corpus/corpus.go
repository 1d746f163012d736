// Package corpus computes the records that a stand-in shard holds. The content
// depends only on service, version and query, so that an audit can compute the
// complete answer without asking the servers.
package corpus

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// recordsPerQuery is the number of records of one service that match a query.
	recordsPerQuery = 12
	// poisonWord makes a query crash the server that runs it.
	poisonWord = "poison"
)

// Record is one record that matches a query.
type Record struct {
	ID    uint64
	Score float64
	Text  string
}

// Matches returns the records that a query matches in all shards of a service at
// an index version.
func Matches(service string, version uint64, query string) []Record {
	records := make([]Record, 0, recordsPerQuery)
	seed := xxhash.Sum64String(service + "\x00" + query)
	for i := range uint64(recordsPerQuery) {
		id := recordID(seed, version, i)
		records = append(records, Record{
			ID:    id,
			Score: float64(id>>11) / (1 << 53),
			Text:  fmt.Sprintf("%s@%d#%x", service, version, id),
		})
	}
	return records
}

// Shard returns the records of Matches that the given shard out of count holds.
func Shard(service string, version uint64, query string, shard, count uint32) []Record {
	var part []Record
	for _, r := range Matches(service, version, query) {
		if ShardOf(r.ID, count) == shard {
			part = append(part, r)
		}
	}
	return part
}

// ShardOf returns the shard that holds a record of an index with count shards.
func ShardOf(id uint64, count uint32) uint32 {
	return uint32(id % uint64(count))
}

// IsPoison reports whether a query crashes the server that runs it.
func IsPoison(query string) bool {
	return strings.Contains(query, poisonWord)
}

func recordID(seed, version, i uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], seed)
	binary.LittleEndian.PutUint64(b[8:], version)
	binary.LittleEndian.PutUint64(b[16:], i)
	return xxhash.Sum64(b[:])
}
