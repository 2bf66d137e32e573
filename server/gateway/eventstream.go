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
	// maxEventBytes bounds what a stream may have from the end of one event to the end of the next. It
	// includes comments and empty lines, which a target in trouble may send without end.
	maxEventBytes = 256 << 10
	// eventBufferBytes fits several events.
	eventBufferBytes = 4 << 10
)

var errNoEvent = errors.New("the stream has 256 KiB without the end of an event")

// relayEvents forwards a stream, event by event. Only complete events are sent: a target
// may fail within one, and the next target resumes after the last complete one.
func (r *relay) relayEvents(ctx context.Context, a *upstream.Response) outcome {
	r.setEventStream()
	contentType := a.Header.Get("Content-Type")
	if r.headerSent {
		contentType = "" // the rest of a stream consists of events, whatever its type
	}
	reader := newEventReader(a.Body)
	flusher, _ := r.writer.(http.Flusher)
	for {
		block, isEvent, err := reader.next()
		if err != nil {
			return r.endStream(ctx, a, reader.scanner.End(a.Framing, contentType, err), block, err)
		}
		if isEvent {
			r.received()
		}
		if isEvent && !r.claim(block) {
			return r.readError(ctx, framing.Interrupted, ctx.Err())
		}
		if !r.forwardBlock(a, block, isEvent) {
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

// forwardBlock forwards an event, or comments and empty lines after one. It reports false if the
// caller has gone.
func (r *relay) forwardBlock(a *upstream.Response, block []byte, isEvent bool) bool {
	if isEvent {
		return r.forwardEvent(a, block)
	}
	_, err := r.writer.Write(block)
	return err == nil
}

func (r *relay) forwardEvent(a *upstream.Response, event []byte) bool {
	if r.events == 1 {
		r.beganFirst()
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
	reader     *bufio.Reader
	scanner    framing.EventScanner
	sinceEvent int // bytes since the end of the last event
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next event with the empty line that ends it. Comments and empty lines are
// returned with the event that follows, or alone while the target sends no more; before the first
// event they are held, because an answer that has only these can be left for another target. At
// the end of the stream it returns what followed the last event, with the error of the last read.
func (e *eventReader) next() (block []byte, isEvent bool, err error) {
	for {
		if _, err := e.reader.Peek(1); err != nil {
			return block, false, err
		}
		part, isEvent, boundary := e.scan()
		block = append(block, part...)
		_, _ = e.reader.Discard(len(part)) // cannot fail: part is buffered
		if e.sinceEvent > maxEventBytes {
			return nil, false, errNoEvent
		}
		if isEvent || boundary && e.scanner.Events() > 0 && e.buffered() == 0 {
			return block, isEvent, nil
		}
	}
}

// scan returns what is buffered up to and including the next empty line, whether that ends an event, and
// whether there is an empty line.
func (e *eventReader) scan() (part []byte, isEvent, boundary bool) {
	before := e.scanner.Events()
	buffered, _ := e.reader.Peek(e.reader.Buffered())
	n, boundary := e.scanner.Next(buffered)
	e.sinceEvent += n
	isEvent = e.scanner.Events() > before
	if isEvent {
		e.sinceEvent = 0
	}
	return buffered[:n], isEvent, boundary
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
