package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

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

// Bounds of unfinished events, in bytes.
const (
	// maxUnfinishedBytes is for all streams of this host: targets in trouble may begin events at
	// many connections and not end them.
	maxUnfinishedBytes = 16 << 20
	// smallEventBytes of an event do not count, so that usual events are never refused.
	smallEventBytes = 8 << 10
)

// unfinishedBytes is what the unfinished events of all streams hold beyond smallEventBytes each.
type unfinishedBytes struct{ used atomic.Int64 }

var errEventMemory = errors.New("the unfinished events of this host's streams hold 16 MiB")

// hold counts an event that has grown from one size to another. It reports false if that is too much;
// it is counted all the same.
func (u *unfinishedBytes) hold(from, to int) bool {
	grown := max(to, smallEventBytes) - max(from, smallEventBytes)
	return u.used.Add(int64(grown)) <= maxUnfinishedBytes || grown == 0
}

// release ends the count of an event of a size.
func (u *unfinishedBytes) release(size int) {
	u.used.Add(-int64(max(size, smallEventBytes) - smallEventBytes))
}

// relayEvents forwards a stream, event by event. Only complete events are sent: a target
// may fail within one, and the next target resumes after the last complete one.
func (r *relay) relayEvents(ctx context.Context, a *upstream.Response) outcome {
	r.setEventStream()
	contentType := a.Header.Get("Content-Type")
	if r.headerSent {
		contentType = "" // the rest of a stream consists of events, whatever its type
	}
	reader := newEventReader(a.Body, &r.gateway.unfinished)
	defer reader.release()
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
		end = framing.Confirm(a.Framing, r.sender)
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
	after := r.gateway.config.Now().Sub(r.call.start)
	if last := time.Duration(r.lastEventAfter.Swap(int64(after))); last > 0 {
		r.call.recordPause(after - last)
	}
	return true
}

// eventReader reads a stream event by event.
type eventReader struct {
	reader     *bufio.Reader
	scanner    framing.EventScanner
	sinceEvent int // bytes since the end of the last event
	unfinished *unfinishedBytes
	held       int // bytes counted by unfinished
}

func newEventReader(body io.Reader, u *unfinishedBytes) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes), unfinished: u}
}

// hold counts a block that has grown to a size. It reports false if that is too much.
func (e *eventReader) hold(size int) bool {
	ok := e.unfinished.hold(e.held, size)
	e.held = size
	return ok
}

// release ends the count of the block that was returned last.
func (e *eventReader) release() {
	e.unfinished.release(e.held)
	e.held = 0
}

// next returns the next event with the empty line that ends it. Comments and empty lines are
// returned with the event that follows, or alone while the target sends no more; before the first
// event they are held, because an answer that has only these can be left for another target. At
// the end of the stream it returns what followed the last event, with the error of the last read. The
// block counts as held until next or release is called.
func (e *eventReader) next() (block []byte, isEvent bool, err error) {
	e.release()
	for {
		if _, err := e.reader.Peek(1); err != nil {
			return block, false, err
		}
		part, isEvent, boundary := e.scan()
		block = append(block, part...)
		_, _ = e.reader.Discard(len(part)) // cannot fail: part is buffered
		switch {
		case e.sinceEvent > maxEventBytes:
			return nil, false, errNoEvent
		case !e.hold(cap(block)):
			return nil, false, errEventMemory
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
