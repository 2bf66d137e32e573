package entry

import (
	"io"
	"net/http"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/server/rpc"
)

// maxWhole is how much of an answer that is not a stream, or of one event of a stream,
// is held until it is whole. A failure up to there becomes a proper refusal or an error
// event, and a repeatable call can be retried; beyond it, the connection is aborted.
const maxWhole = 256 << 10

// answer is what a caller gets. It implements io.ReadCloser and io.WriterTo;
// the generated code uses the latter.
type answer struct {
	status      int
	contentType string
	held        []byte   // the first bytes, or all of them
	end         *rpc.End // set when held is the whole answer
	attempt     *attempt // nil for a recorded answer
	record      *record
	ends        []func(end *rpc.End, err error)
	over        bool
}

func newAnswer(from *attempt) *answer {
	return &answer{status: int(from.accepted.Status), contentType: from.accepted.ContentType, attempt: from}
}

// onEnd adds what is to be done, once, when it is known what became of the
// answer. What was added last is done first.
func (a *answer) onEnd(do func(end *rpc.End, err error)) {
	a.ends = append(a.ends, do)
}

// collect takes in an answer that is not a stream, as far as it may be held.
func (a *answer) collect() error {
	if framing.IsEventStream(a.contentType) {
		return nil
	}
	for a.end == nil && len(a.held) < maxWhole {
		chunk, end, err := a.attempt.next()
		if err != nil {
			return err
		}
		a.held = append(a.held, chunk...)
		a.end = end
	}
	return nil
}

// Read implements io.Reader; it is never used.
func (a *answer) Read([]byte) (int, error) {
	return 0, io.ErrNoProgress
}

// WriteTo implements io.WriterTo: each part goes out as it comes. A stream that
// breaks ends with an error event, unless a part of an unfinished event has gone out.
// Any other answer that breaks is aborted, so that its chunked body has no end and cannot
// be taken for whole.
func (a *answer) WriteTo(w io.Writer) (int64, error) {
	out := &callerWriter{w: w}
	body := &bodyWriter{out: out, stream: framing.IsEventStream(a.contentType)}
	err := a.pass(body)
	a.finish(err)
	if err == nil {
		return out.written, nil
	}
	a.record.err = err
	if body.stream && out.err == nil && !body.insideEvent {
		out.write(errorEvent(err, a.record.id))
		return out.written, nil
	}
	// With a count of zero the generated code would write an error body behind
	// a head that says all is well.
	return max(out.written, 1), err
}

func (a *answer) pass(body *bodyWriter) error {
	if len(a.held) > 0 && !body.write(a.held) {
		return body.out.gone()
	}
	for a.end == nil {
		chunk, end, err := a.attempt.next()
		if err != nil {
			return err
		}
		a.end = end
		if len(chunk) > 0 && !body.write(chunk) {
			return body.out.gone()
		}
	}
	if !body.flush() {
		return body.out.gone()
	}
	return nil
}

// Close implements io.Closer. An answer that was never written, because the
// caller had gone, is finished here.
func (a *answer) Close() error {
	a.finish(fault.New(fault.Canceled, "the caller went away"))
	if a.attempt != nil {
		a.attempt.close()
	}
	return nil
}

func (a *answer) finish(err error) {
	if a.over {
		return
	}
	a.over = true
	for _, do := range slices.Backward(a.ends) {
		do(a.end, err)
	}
}

// callerWriter writes parts of an answer and pushes each out. A caller who
// takes nothing for writeTimeout is given up, so that slow callers cannot hold
// all requests of a host.
type callerWriter struct {
	w       io.Writer
	written int64
	err     error
}

func (c *callerWriter) write(p []byte) bool {
	if controller, ok := c.w.(http.ResponseWriter); ok {
		_ = http.NewResponseController(controller).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	n, err := c.w.Write(p)
	c.written += int64(n)
	if err == nil {
		err = c.flush()
	}
	c.err = err
	return err == nil
}

func (c *callerWriter) flush() error {
	w, ok := c.w.(http.ResponseWriter)
	if !ok {
		return nil
	}
	return http.NewResponseController(w).Flush()
}

func (c *callerWriter) gone() error {
	return fault.New(fault.Canceled, "the caller went away")
}
