// Command lentilsoak runs instances as separate processes, injects random faults
// and checks the replies that callers receive and the requests that backend servers
// run.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("lentilsoak", "Runs instances under random faults and checks that requests run at most once and replies are correct.")
	seed := app.Flag("seed", "Seed of the random faults.").Default("1").Uint64()
	duration := app.Flag("for", "Duration of the run.").Default("30s").Duration()
	program := app.Flag("program", "Path of the lentilward binary.").Default("bin/lentilward").ExistingFile()
	folder := app.Flag("folder", "Folder for settings and logs.").Required().ExistingDir()
	endlessServers := app.Flag("endless", "Let one of the two servers of each service send bytes without end, under many callers.").Bool()
	keys := app.Flag("keys", "Let callers need keys, which are withdrawn one after another.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := newSoak(*seed, *program, *folder, *endlessServers)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lentilsoak:", err)
		os.Exit(1)
	}
	s.withKeys = *keys
	s.run(time.Now().Add(*duration))
	findings := s.ledger.finalFindings()
	for _, f := range findings {
		fmt.Println("finding:", f)
	}
	fmt.Printf("seed=%d answered=%d refused=%d failed=%d faults=%d returns=%d judged=%d,%d,%d peak-mib=%d findings=%d\n", *seed, s.ledger.answered.Load(),
		s.ledger.refused.Load(), s.ledger.failed.Load(), s.faultCount, s.returnCount.Load(), s.ledger.judged.Load(), s.ledger.drainsJudged.Load(),
		s.ledger.withdrawalsJudged.Load(), s.ledger.peakMemory.Load(), len(findings))
	if len(findings) > 0 || s.ledger.answered.Load() == 0 {
		os.Exit(1)
	}
}
