package main

import (
	"flag"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// portTimeout bounds the wait for a program to listen or to become ready.
const portTimeout = 20 * time.Second

// fixedSeed makes rapid generate the same cases in every run; set -rapid.seed
// for others.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.seed").Value.Set(fixedSeed); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){"lentilward": main})
}

// TestScripts runs the scripts in testdata/script with the programs in bin,
// which the build puts there.
func TestScripts(t *testing.T) {
	bin, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	sites, err := filepath.Abs("../config")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", e.Getenv("PATH")+string(os.PathListSeparator)+bin)
			e.Setenv("CONFIG", sites)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"listening": waitUntilListening,
			"ready":     waitUntilReady,
		},
	})
}

// waitUntilListening waits until a program listens on each of the loopback
// ports, or until none does if negated.
func waitUntilListening(ts *testscript.TestScript, neg bool, ports []string) {
	deadline := time.Now().Add(portTimeout)
	for _, port := range ports {
		if _, err := strconv.Atoi(port); err != nil {
			ts.Fatalf("port %q is not a number", port)
		}
		for {
			c, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", port))
			if err == nil {
				c.Close()
			}
			if (err == nil) != neg {
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("timed out waiting for port %s: %v", port, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// waitUntilReady waits until the instances with these monitor ports serve
// callers, or no longer do if negated.
func waitUntilReady(ts *testscript.TestScript, neg bool, ports []string) {
	deadline := time.Now().Add(portTimeout)
	for _, port := range ports {
		for {
			r, err := http.Get("http://127.0.0.1:" + port + "/readyz")
			if err == nil {
				r.Body.Close()
			}
			if err == nil && (r.StatusCode == http.StatusOK) != neg {
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("timed out waiting for readiness at monitor port %s: %v", port, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
