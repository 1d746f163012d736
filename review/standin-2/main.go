// Command standin runs the cases of the second review: it starts the instances and the
// stand-ins of one case as processes, sends requests, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of each case to the function that runs it. It reports whether the
// rule held, or an error if the case could not run.
var cases = map[string]func(*site) (held bool, _ error){}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		if err := serveLeaf(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "standin server:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs one case and returns the exit code.
func runCase(name, recordFile string) int {
	s, err := newSite(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer s.close()
	held, err := cases[name](s)
	switch {
	case err != nil:
		s.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	case !held:
		s.record.note("RESULT: the rule was broken")
		return exitBroken
	}
	s.record.note("RESULT: the rule held")
	return exitHeld
}
