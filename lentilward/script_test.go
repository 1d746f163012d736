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

// portWait bounds the wait for a program to listen.
const portWait = 20 * time.Second

// fixedSeed makes every run draw the same cases; -rapid.seed draws others.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.seed").Value.Set(fixedSeed); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){"lentilward": main})
}

// TestScripts runs the scenarios of testdata/script with the programs that the
// build put into bin.
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
			"listening": listening,
			"ready":     ready,
		},
	})
}

// listening waits until something listens on the loopback ports.
func listening(ts *testscript.TestScript, neg bool, ports []string) {
	deadline := time.Now().Add(portWait)
	for _, port := range ports {
		if _, err := strconv.Atoi(port); err != nil {
			ts.Fatalf("port %q", port)
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
				ts.Fatalf("port %s: %v", port, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// ready waits until the instances with these monitor ports take callers.
func ready(ts *testscript.TestScript, neg bool, ports []string) {
	deadline := time.Now().Add(portWait)
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
				ts.Fatalf("monitor port %s: %v", port, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
