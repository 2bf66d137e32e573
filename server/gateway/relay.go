package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/routing"
	"cowsliptiller/platform"
	"cowsliptiller/server/upstream"
)

const (
	// bufferedAnswerBytes is how much of an answer is buffered before any of it is
	// sent: if the target fails within it, the call can be retried elsewhere.
	bufferedAnswerBytes = 64 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// drainBytes bounds what is read of a discarded answer to reuse its connection.
	drainBytes = 16 << 10
)

// relay forwards answers to a caller. It sends one header and one body, from one or
// more targets.
type relay struct {
	gateway     *Gateway
	call        *call
	writer      http.ResponseWriter
	headerSent  bool        // the header has been sent
	eventStream bool        // the answer is a stream of events
	lastEvent   string      // id of the last complete event sent
	events      uint64      // number of complete events sent
	senderEnded func() bool // reports whether the process of the current attempt's target has ended
}

func newRelay(w http.ResponseWriter, c *call, g *Gateway) *relay {
	return &relay{gateway: g, call: c, writer: w}
}

// resumable reports whether an answer that has been started can continue at another target.
func (r *relay) resumable() bool {
	return r.eventStream && r.call.route.Resumable && r.lastEvent != ""
}

// relayAnswer forwards a target's answer. If retryable is set, a 5xx answer is
// discarded so that the call can be retried elsewhere.
func (r *relay) relayAnswer(ctx context.Context, a *upstream.Response, meta platform.Answer, w *watchdog, retryable bool) outcome {
	defer a.Close()
	if a.Status >= http.StatusInternalServerError {
		if r.headerSent || retryable {
			drain(a)
			return outcome{err: fault.New(fault.TargetFailed, "the target answered %d", a.Status), result: routing.Failed}
		}
		return r.relayBody(ctx, a, routing.Failed)
	}
	if r.call.route.Streaming && a.Status == http.StatusOK {
		return r.relayEvents(ctx, a, w)
	}
	if r.headerSent {
		drain(a)
		return outcome{err: fault.New(fault.StreamBroken, "the target answered %d where a stream should go on", a.Status), result: routing.Neutral}
	}
	return r.relayBody(ctx, a, routing.Served)
}

// relayBody forwards an answer that is not a stream of events.
func (r *relay) relayBody(ctx context.Context, a *upstream.Response, result routing.Outcome) outcome {
	var first bytes.Buffer
	_, err := io.Copy(&first, io.LimitReader(a.Body, bufferedAnswerBytes))
	if err != nil {
		return r.readError(ctx, framing.Interrupted, err)
	}
	whole := first.Len() < bufferedAnswerBytes
	if whole {
		if end := r.confirmEnd(a); end != framing.Complete {
			return truncated(end)
		}
	}
	r.sendHeader(a)
	if _, err := r.writer.Write(first.Bytes()); err != nil {
		return callerGone()
	}
	if whole {
		return outcome{result: result, end: framing.Complete}
	}
	if _, err := io.Copy(r.writer, a.Body); err != nil {
		return r.readError(ctx, framing.Interrupted, err)
	}
	if end := r.confirmEnd(a); end != framing.Complete {
		return truncated(end)
	}
	return outcome{result: result, end: framing.Complete}
}

// confirmEnd returns how an answer ended that looks complete. The kernel closes the connections of
// a process that has crashed in order, so an answer that ends with its connection is complete only
// if its target is still there.
func (r *relay) confirmEnd(a *upstream.Response) framing.End {
	if a.Framing == framing.UntilClose && r.senderEnded() {
		return framing.SenderEnded
	}
	return framing.Complete
}

// readError distinguishes a failed target from a caller that disconnected. end is how the body
// ended, and err the error of its last read.
func (r *relay) readError(ctx context.Context, end framing.End, err error) outcome {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome{err: fault.New(fault.StreamBroken, "the target stopped sending"), result: routing.Failed}
	case ctx.Err() != nil:
		return outcome{err: contextError(ctx), result: routing.Neutral}
	case err == io.EOF:
		return truncated(end)
	}
	return outcome{err: fault.New(fault.StreamBroken, "the target broke off: %v", err), result: routing.Failed, broken: true, end: end}
}

// truncated is the outcome of an answer whose connection was closed in order, and which is not
// complete all the same.
func truncated(end framing.End) outcome {
	return outcome{err: fault.New(fault.StreamBroken, "the target's answer is truncated: %s", end), result: routing.Failed, broken: true, end: end}
}

// sendHeader sends the header of the first target's answer.
func (r *relay) sendHeader(a *upstream.Response) {
	if r.headerSent {
		return
	}
	r.headerSent = true
	h := r.writer.Header()
	for name, values := range platform.AnswerHeaders(a.Header) {
		h[name] = values
	}
	if r.eventStream && r.call.route.Resumable {
		h.Del("Content-Length") // another target may send the rest, which has a length of its own
	}
	if h.Get("Date") == "" {
		h["Date"] = nil // keeps net/http from adding one
	}
	if r.gateway.isDraining() {
		h.Set("Connection", "close")
	}
	r.call.record.FirstByte = r.gateway.config.Now().Sub(r.call.start)
	r.call.record.Status = a.Status
	r.writer.WriteHeader(a.Status)
}

// relayEvents forwards a stream, event by event. Only complete events are sent: a target
// may fail within one, and the next target resumes after the last complete one.
func (r *relay) relayEvents(ctx context.Context, a *upstream.Response, w *watchdog) outcome {
	r.eventStream = true
	reader := newEventReader(a.Body)
	flusher, _ := r.writer.(http.Flusher)
	for {
		event, err := reader.next()
		w.Reset()
		if err != nil {
			end := reader.scanner.End(a.Framing, a.Header.Get("Content-Type"), err)
			return r.endStream(ctx, a, end, event, err)
		}
		if !r.forwardEvent(a, event) {
			return callerGone()
		}
		if flusher != nil && reader.buffered() == 0 {
			flusher.Flush()
		}
	}
}

// endStream handles the end of a stream. rest is what followed its last event, and err the error
// of its last read.
func (r *relay) endStream(ctx context.Context, a *upstream.Response, end framing.End, rest []byte, err error) outcome {
	if end == framing.Complete {
		end = r.confirmEnd(a)
	}
	if end == framing.Complete {
		r.sendHeader(a)
		if _, err := r.writer.Write(rest); err != nil {
			return callerGone()
		}
		return outcome{result: routing.Served, end: end}
	}
	if flusher, ok := r.writer.(http.Flusher); ok && r.headerSent {
		flusher.Flush() // sends the complete events that preceded the failure
	}
	return r.readError(ctx, end, err)
}

func callerGone() outcome {
	return outcome{err: fault.New(fault.Canceled, "the caller has gone"), result: routing.Neutral}
}

func (r *relay) forwardEvent(a *upstream.Response, event []byte) bool {
	r.sendHeader(a)
	if _, err := r.writer.Write(event); err != nil {
		return false
	}
	r.events++
	if id, ok := eventID(event); ok {
		r.lastEvent = id
	}
	return true
}

// eventReader reads a stream event by event.
type eventReader struct {
	reader  *bufio.Reader
	scanner framing.EventScanner
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, 4<<10)}
}

// next returns the next event with the empty line that ends it. At the end of the stream it
// returns what followed the last event, with the error of the last read.
func (e *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		if _, err := e.reader.Peek(1); err != nil {
			return event, err
		}
		buffered, _ := e.reader.Peek(e.reader.Buffered())
		n, boundary := e.scanner.Next(buffered)
		event = append(event, buffered[:n]...)
		_, _ = e.reader.Discard(n) // cannot fail: n bytes are buffered
		if len(event) > maxEventBytes {
			return nil, errors.New("an event of the stream is too long")
		}
		if boundary {
			return event, nil
		}
	}
}

// buffered returns how many bytes can be read without waiting for the target.
func (e *eventReader) buffered() int { return e.reader.Buffered() }

// eventID returns an event's id.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// drain reads a short answer to its end, so that its connection can be kept, and
// closes it.
func drain(a *upstream.Response) {
	if _, err := io.CopyN(io.Discard, a.Body, drainBytes); err != nil && err != io.EOF {
		a.Abort()
		return
	}
	a.Close()
}

// watchdog calls a function when it was not reset within limit, and again as long as
// that returns false. The zero value never calls one.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	limit   time.Duration
	stopped bool
}

func newWatchdog(limit time.Duration, onTimeout func() (done bool)) *watchdog {
	w := &watchdog{limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		if !onTimeout() {
			w.Reset()
		}
	})
	return w
}

// Reset restarts the timeout.
func (w *watchdog) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.limit)
	}
}

// Stop stops the watchdog.
func (w *watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
