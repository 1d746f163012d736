// Command lentilsoak runs instances as separate processes under random faults
// and checks what callers and backend servers see.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("lentilsoak", "Runs instances under random faults and checks the promises.")
	seed := app.Flag("seed", "Seed of the faults.").Default("1").Uint64()
	length := app.Flag("for", "Length of the run.").Default("30s").Duration()
	program := app.Flag("program", "Path of lentilward.").Default("bin/lentilward").ExistingFile()
	folder := app.Flag("folder", "Folder for settings and logs.").Required().ExistingDir()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := newSoak(*seed, *program, *folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilsoak:", err)
		os.Exit(1)
	}
	s.run(time.Now().Add(*length))
	findings := s.ledger.conclude()
	for _, f := range findings {
		fmt.Println("finding:", f)
	}
	fmt.Printf("seed=%d answered=%d refused=%d failed=%d faults=%d findings=%d\n", *seed, s.ledger.answered.Load(),
		s.ledger.refused.Load(), s.ledger.failed.Load(), s.faults, len(findings))
	if len(findings) > 0 || s.ledger.answered.Load() == 0 {
		os.Exit(1)
	}
}
