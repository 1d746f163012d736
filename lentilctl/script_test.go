package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lentilctl": func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestCommandLineErrorsAreReported(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
