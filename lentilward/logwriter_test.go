package main

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuckWriter does not return until it is let go.
type stuckWriter struct {
	go1 chan struct{}
	bytes.Buffer
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.go1
	return w.Buffer.Write(b)
}

// A log that nobody reads holds up nobody, keeps a bounded number of lines and
// tells how many it dropped.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuckWriter{go1: make(chan struct{})}
		l := newLogWriter(w)
		if _, err := l.Write([]byte("first\n")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		begin := time.Now()
		for range logLines + 7 {
			if _, err := l.Write([]byte("x\n")); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(begin) != 0 {
			t.Fatal("writing took time")
		}
		close(w.go1)
		synctest.Wait()
		if _, err := l.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		l.Close()
		text := w.String()
		if n := strings.Count(text, "x\n"); n != logLines || !strings.Contains(text, "lines=7\n") || !strings.HasSuffix(text, "last\n") {
			t.Fatalf("%d lines, end %q", n, text[max(0, len(text)-80):])
		}
	})
}
