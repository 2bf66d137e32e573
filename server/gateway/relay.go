package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/platform"
	"cowsliptiller/server/upstream"
)

const (
	// bufferedAnswerBytes is how much of an answer is buffered before any of it is
	// sent: if the target fails within it, the call can be retried elsewhere.
	bufferedAnswerBytes = 64 << 10
)

// relay forwards answers to a caller. It sends one header and one body, from one or
// more targets.
type relay struct {
	gateway     *Gateway
	call        *call
	writer      http.ResponseWriter
	headerSent  bool                  // the header has been sent
	eventStream bool                  // the answer is a stream of events; changed with mu held
	sender      func() framing.Sender // probes the target's process; set for each attempt
	claimed     func()                // called for each event before it is sent, with mu held; set for each attempt
	received    func()                // called when something of the answer was received; set for each attempt
	beganFirst  func()                // called when the first event was sent; set for each attempt
	// lastEventAfter is the time from the call's start to the latest event sent, 0 before the
	// first. It may be read at any time.
	lastEventAfter atomic.Int64

	mu           sync.Mutex // guards the fields below; only the call's goroutine changes the first three
	lastEvent    string     // id of the last complete event that is forwarded
	events       uint64     // number of complete events that are forwarded
	begun        bool       // something of the answer is forwarded
	handover     request.Handover
	cancelSecond context.CancelCauseFunc // of the second attempt
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
func (r *relay) relayAnswer(ctx context.Context, a *upstream.Response, meta platform.Answer, retryable bool) outcome {
	defer a.Close()
	if a.Status >= http.StatusInternalServerError {
		if r.headerSent || retryable {
			a.Discard()
			return outcome{err: fault.New(fault.TargetFailed, "the target answered %d", a.Status), result: routing.Failed}
		}
		r.keep()
		return r.relayBody(ctx, a, routing.Failed)
	}
	r.keep()
	if r.call.route.Streaming && a.Status == http.StatusOK {
		return r.relayEvents(ctx, a)
	}
	if r.headerSent {
		a.Discard()
		return outcome{err: fault.New(fault.StreamBroken, "the target answered %d where a stream should go on", a.Status), result: routing.Neutral}
	}
	return r.relayBody(ctx, a, routing.Served)
}

// relayBody forwards an answer that is not a stream of events.
func (r *relay) relayBody(ctx context.Context, a *upstream.Response, result routing.Outcome) outcome {
	var first bytes.Buffer
	content := progressReader{a.Body, r.received}
	_, err := io.Copy(&first, io.LimitReader(content, bufferedAnswerBytes))
	if err != nil {
		return r.readError(ctx, framing.EndOfBody(err), err)
	}
	if first.Len() < bufferedAnswerBytes {
		return r.relayShortBody(ctx, a, first.Bytes(), result)
	}
	if !r.claim(nil) {
		return r.readError(ctx, framing.Interrupted, ctx.Err())
	}
	r.sendHeader(a)
	if _, err := r.writer.Write(first.Bytes()); err != nil {
		return callerGone()
	}
	if _, err := io.Copy(r.writer, content); err != nil {
		return r.readError(ctx, framing.EndOfBody(err), err)
	}
	if end := framing.Confirm(a.Framing, r.sender); end != framing.Complete {
		return truncated(end)
	}
	return outcome{result: result, end: framing.Complete}
}

// progressReader calls received whenever something was read.
type progressReader struct {
	io.Reader
	received func()
}

func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.received()
	}
	return n, err
}

// relayShortBody forwards a body that has been read to its end.
func (r *relay) relayShortBody(ctx context.Context, a *upstream.Response, body []byte, result routing.Outcome) outcome {
	if end := framing.Confirm(a.Framing, r.sender); end != framing.Complete {
		return truncated(end)
	}
	if !r.claim(nil) {
		return r.readError(ctx, framing.Interrupted, ctx.Err())
	}
	r.sendHeader(a)
	if _, err := r.writer.Write(body); err != nil {
		return callerGone()
	}
	return outcome{result: result, end: framing.Complete}
}

// readError distinguishes a failed target from a caller that disconnected. end is how the body
// ended, and err the error of its last read.
func (r *relay) readError(ctx context.Context, end framing.End, err error) outcome {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome{err: fault.New(fault.StreamBroken, "the target stopped sending"), result: routing.Failed}
	case errors.Is(context.Cause(ctx), errUnreachable):
		return outcome{err: fault.New(fault.StreamBroken, "the target's host does not respond"), result: routing.Neutral}
	case errors.Is(context.Cause(ctx), errTooLate):
		return outcome{err: fault.New(fault.Timeout, "%v", errTooLate), result: routing.Neutral}
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

func callerGone() outcome {
	return outcome{err: fault.New(fault.Canceled, "the caller has gone"), result: routing.Neutral}
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

// watchdog calls a function when it was not reset within limit, and then every
// alternativeInterval. The zero value never calls one.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	limit   time.Duration
	stopped bool
}

func newWatchdog(limit time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		onTimeout()
		w.restart(min(limit, alternativeInterval))
	})
	return w
}

// Reset restarts the timeout.
func (w *watchdog) Reset() { w.restart(w.limit) }

func (w *watchdog) restart(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(limit)
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
