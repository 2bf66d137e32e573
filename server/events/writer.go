package events

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines bounds the lines that are buffered while the output blocks: half a
	// megabyte at the usual length of a line.
	bufferedLines = 2048
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// Writer buffers lines for a slow writer and drops lines instead of blocking.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out in its own goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write buffers one line, or drops and counts it if the buffer is full. It never returns
// an error, because a lost log line must not fail the operation that it describes.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	reported, last := int64(0), time.Now()
	for line := range w.lines {
		// A write error cannot be reported: the output is where it would be logged.
		_, _ = out.Write(line)
		if n := w.dropped.Load(); n != reported && time.Since(last) >= dropReportInterval {
			reported, last = n, time.Now()
			_, _ = fmt.Fprintf(out, `{"@level":"warn","@message":"log lines dropped","total":%d}`+"\n", n)
		}
	}
}

// Close writes the buffered lines and returns when they are written or limit has passed.
// Write must not be called after Close.
func (w *Writer) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
