package main

import (
	"encoding/binary"
	"fmt"
	"math/bits"
)

// hash64 is XXH64 with seed 0 of a text of less than 32 bytes, by which the instances choose
// who keeps the allowance of a tenant.
func hash64(text string) uint64 {
	const p1, p2, p3, p4, p5 = 11400714785074694791, 14029467366897019727, 1609587929392839161, 9650029242287828579, 2870177450012600261
	b := []byte(text)
	if len(b) >= 32 {
		panic("text is too long")
	}
	h := uint64(p5) + uint64(len(b))
	for ; len(b) >= 8; b = b[8:] {
		k := bits.RotateLeft64(binary.LittleEndian.Uint64(b)*p2, 31) * p1
		h = bits.RotateLeft64(h^k, 27)*p1 + p4
	}
	if len(b) >= 4 {
		h = bits.RotateLeft64(h^uint64(binary.LittleEndian.Uint32(b))*p1, 23)*p2 + p3
		b = b[4:]
	}
	for _, c := range b {
		h = bits.RotateLeft64(h^uint64(c)*p5, 11) * p1
	}
	h = (h ^ h>>33) * p2
	h = (h ^ h>>29) * p3
	return h ^ h>>32
}

// keeper returns which of the names keeps the allowance of a tenant.
func keeper(tenant string, names []string) int {
	best, most := 0, uint64(0)
	for n, name := range names {
		if h := hash64(name + "\x00quota\x00" + tenant); h > most {
			best, most = n, h
		}
	}
	return best
}

// pickTenant returns the name of a tenant whose allowance is kept by one of the instances in
// normal operation, and by one of the seeds while all instances have just started.
func (s *site) pickTenant(normal, starting int) string {
	var names, seeds []string
	for n, i := range s.instances {
		names = append(names, i.name)
		if n < 3 {
			seeds = append(seeds, i.peers)
		}
	}
	for n := 0; ; n++ {
		tenant := fmt.Sprintf("t-%d", n)
		if keeper(tenant, names) == normal && keeper(tenant, seeds) == starting {
			return tenant
		}
	}
}
