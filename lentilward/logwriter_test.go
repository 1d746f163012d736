package main

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks in Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(b)
}

// Writing to a log whose reader is blocked must not block. The number of queued
// lines is bounded, and the number of dropped lines is logged.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{unblock: make(chan struct{})}
		l := newLogWriter(w)
		if _, err := l.Write([]byte("first\n")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		started := time.Now()
		for range maxQueuedLogLines + 7 {
			if _, err := l.Write([]byte("x\n")); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(started) != 0 {
			t.Fatal("Write blocked")
		}
		close(w.unblock)
		synctest.Wait()
		if _, err := l.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		l.Close()
		text := w.String()
		if n := strings.Count(text, "x\n"); n != maxQueuedLogLines || !strings.Contains(text, "lines=7\n") || !strings.HasSuffix(text, "last\n") {
			t.Fatalf("%d lines, end %q", n, text[max(0, len(text)-80):])
		}
	})
}
