package blackboard

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes every run generate the same cases unless -rapid.seed is given.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
