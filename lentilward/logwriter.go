package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLogLines bounds the log lines that wait to be written.
const maxQueuedLogLines = 4096

// logWriter writes log lines in the background, so that a blocked log reader
// delays no request. Lines beyond maxQueuedLogLines are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, maxQueuedLogLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues one line, or drops it if the queue is full. It never blocks or
// fails.
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
		for queued := len(l.lines); queued > 0; queued-- {
			line = append(line, <-l.lines...)
		}
		if n := l.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "level=WARN msg=\"log lines were dropped\" lines=%d\n", n)
		}
		// An error of the log itself cannot be reported anywhere.
		_, _ = w.Write(line)
	}
}

// Close waits at most logFlushTimeout for the queued lines to be written. Write
// must not be called after it.
func (l *logWriter) Close() {
	close(l.lines)
	select {
	case <-l.done:
	case <-time.After(logFlushTimeout):
	}
}

// logFlushTimeout bounds the time that an exiting process waits for the queued
// log lines to be written.
const logFlushTimeout = 100 * time.Millisecond
