package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logLines bounds the log lines that wait to be written.
const logLines = 4096

// logWriter writes log lines in the background, so that a reader that does not
// read holds up no request. Lines beyond the bound are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, logLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write takes one line.
func (l *logWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

func (l *logWriter) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		for waiting := len(l.lines); waiting > 0; waiting-- {
			line = append(line, <-l.lines...)
		}
		if n := l.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "level=WARN msg=\"log lines were dropped\" lines=%d\n", n)
		}
		// There is nowhere to tell of a log that cannot be written.
		_, _ = w.Write(line)
	}
}

// Close writes what waits, for at most a while. No line may follow.
func (l *logWriter) Close() {
	close(l.lines)
	select {
	case <-l.done:
	case <-time.After(logFlush):
	}
}

// logFlush bounds the time that the end of a process waits for its log.
const logFlush = 100 * time.Millisecond
