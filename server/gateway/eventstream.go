package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/routing"
	"cowsliptiller/server/upstream"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// eventBufferBytes fits several events.
	eventBufferBytes = 4 << 10
)

// relayEvents forwards a stream, event by event. Only complete events are sent: a target
// may fail within one, and the next target resumes after the last complete one.
func (r *relay) relayEvents(ctx context.Context, a *upstream.Response) outcome {
	r.eventStream = true
	contentType := a.Header.Get("Content-Type")
	if r.headerSent {
		contentType = "" // the rest of a stream consists of events, whatever its type
	}
	reader := newEventReader(a.Body)
	flusher, _ := r.writer.(http.Flusher)
	for {
		event, err := reader.next()
		if err != nil {
			return r.endStream(ctx, a, reader.scanner.End(a.Framing, contentType, err), event, err)
		}
		r.received()
		if !r.claim(event) {
			return r.readError(ctx, framing.Interrupted, ctx.Err())
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
		end = framing.Confirm(a.Framing, r.senderEnded)
	}
	if end != framing.Complete {
		if flusher, ok := r.writer.(http.Flusher); ok && r.headerSent {
			flusher.Flush() // sends the complete events that preceded the failure
		}
		return r.readError(ctx, end, err)
	}
	if !r.claim(nil) {
		return r.readError(ctx, framing.Interrupted, ctx.Err())
	}
	r.sendHeader(a)
	if _, err := r.writer.Write(rest); err != nil {
		return callerGone()
	}
	return outcome{result: routing.Served, end: end}
}

func (r *relay) forwardEvent(a *upstream.Response, event []byte) bool {
	if r.events == 1 {
		r.began()
	}
	r.sendHeader(a)
	if _, err := r.writer.Write(event); err != nil {
		return false
	}
	r.lastEventAfter.Store(int64(r.gateway.config.Now().Sub(r.call.start)))
	return true
}

// eventReader reads a stream event by event.
type eventReader struct {
	reader  *bufio.Reader
	scanner framing.EventScanner
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
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
	isLineEnd := func(c rune) bool { return c == '\r' || c == '\n' }
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
