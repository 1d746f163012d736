// Command standin runs the scripted cases of the review: stand-ins for the platform's
// store, backend servers and callers around processes of the program.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) != 2 {
		fatal(fmt.Errorf("usage: standin CASE"))
	}
	run, ok := map[string]func(trouble bool) int{"late-stop": lateStop, "grpc-stop": grpcStop, "lapse": lapse}[os.Args[1]]
	if !ok {
		fatal(fmt.Errorf("unknown case %q", os.Args[1]))
	}
	os.Exit(run(os.Getenv("TROUBLE") != "0"))
}
