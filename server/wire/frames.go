package wire

import (
	"bufio"
	"errors"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

// ContentType is the media type of a framed response.
const ContentType = "application/vnd.cowsliptiller.frames"

// MaxChunk is the maximum number of response body bytes in one frame.
const MaxChunk = 32 << 10

// maxFrame bounds the encoded size of a frame, in bytes: a chunk, the other
// fields, and the model list of a load report with 300 models whose names have
// 128 bytes each.
const maxFrame = MaxChunk + 64<<10

// Writer writes the response frames of one attempt. It is not safe for concurrent use.
type Writer struct {
	attemptID string
	out       io.Writer
	flush     func() error
	sequence  uint64
	length    uint64
}

// NewWriter returns a Writer for the attempt with this id. It calls flush after every frame.
func NewWriter(attemptID string, out io.Writer, flush func() error) *Writer {
	return &Writer{attemptID: attemptID, out: out, flush: flush}
}

// WriteAccepted writes the status and headers of the target's response.
func (w *Writer) WriteAccepted(a *rpc.Accepted) error {
	return w.write(&rpc.Frame{Part: &rpc.Frame_Accepted{Accepted: a}})
}

// Write writes response body bytes as frames of at most MaxChunk bytes each.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), MaxChunk)
		if err := w.write(&rpc.Frame{Part: &rpc.Frame_Chunk{Chunk: p[:n]}}); err != nil {
			return written, err
		}
		w.length += uint64(n)
		written += n
		p = p[n:]
	}
	return written, nil
}

// End marks the response as complete and sets e.Length to the body bytes written.
func (w *Writer) End(e *rpc.End) error {
	e.Length = w.length
	return w.write(&rpc.Frame{Part: &rpc.Frame_End{End: e}})
}

// Fail ends the response with a failure.
func (w *Writer) Fail(f *rpc.Failure) error {
	return w.write(&rpc.Frame{Part: &rpc.Frame_Failure{Failure: f}})
}

func (w *Writer) write(f *rpc.Frame) error {
	f.Attempt = w.attemptID
	f.Sequence = w.sequence
	w.sequence++
	if _, err := protodelim.MarshalTo(w.out, f); err != nil {
		return err
	}
	return w.flush()
}

// Reader reads the response frames of one attempt. It is not safe for concurrent use.
type Reader struct {
	attemptID string
	in        *bufio.Reader
	sequence  uint64
	length    uint64
	accepted  bool
	done      bool
}

// NewReader returns a Reader that accepts only frames of the given attempt id.
func NewReader(attemptID string, in io.Reader) *Reader {
	return &Reader{attemptID: attemptID, in: bufio.NewReader(in)}
}

// Accepted reports whether the target's response has begun.
func (r *Reader) Accepted() bool {
	return r.accepted
}

// Next returns the next frame, and io.EOF after an End or Failure frame. Every
// other error is fault.StreamBroken: the body ended early, or a frame is
// malformed, too large, out of order or of another attempt, or the length in the
// End frame differs from the bytes received.
func (r *Reader) Next() (*rpc.Frame, error) {
	if r.done {
		return nil, io.EOF
	}
	f := new(rpc.Frame)
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(r.in, f)
	if err != nil {
		r.done = true
		return nil, readError(err)
	}
	if err := r.check(f); err != nil {
		r.done = true
		return nil, err
	}
	return f, nil
}

// check verifies the attempt id, the sequence number and the order of the parts.
func (r *Reader) check(f *rpc.Frame) error {
	if f.Attempt != r.attemptID {
		return fault.New(fault.StreamBroken, "received a frame of another attempt")
	}
	if f.Sequence != r.sequence {
		return fault.New(fault.StreamBroken, "received frame %d, expected %d", f.Sequence, r.sequence)
	}
	r.sequence++
	switch part := f.Part.(type) {
	case *rpc.Frame_Accepted:
		return r.checkAccepted()
	case *rpc.Frame_Chunk:
		return r.checkChunk(part.Chunk)
	case *rpc.Frame_End:
		return r.checkEnd(part.End)
	case *rpc.Frame_Failure:
		r.done = true
		return nil
	}
	return fault.New(fault.StreamBroken, "received a frame without a part")
}

func (r *Reader) checkAccepted() error {
	if r.accepted {
		return fault.New(fault.StreamBroken, "received a second accepted frame")
	}
	r.accepted = true
	return nil
}

func (r *Reader) checkChunk(chunk []byte) error {
	if !r.accepted {
		return fault.New(fault.StreamBroken, "received a chunk before the accepted frame")
	}
	r.length += uint64(len(chunk))
	return nil
}

func (r *Reader) checkEnd(end *rpc.End) error {
	if !r.accepted {
		return fault.New(fault.StreamBroken, "received the end frame before the accepted frame")
	}
	if end.Length != r.length {
		return fault.New(fault.StreamBroken, "end frame declares %d bytes, received %d", end.Length, r.length)
	}
	r.done = true
	return nil
}

func readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.New(fault.StreamBroken, "response ended before its end frame")
	}
	return fault.New(fault.StreamBroken, "reading a response frame: %v", err)
}

// FailureFromError converts an error to a failure frame.
func FailureFromError(err error) *rpc.Failure {
	e := fault.From(err)
	return &rpc.Failure{
		Kind:         string(e.Kind),
		Message:      e.Message,
		Ran:          string(e.Ran),
		Repeatable:   e.Repeatable,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// ErrorFromFailure converts a failure frame to an error. An unknown kind becomes
// fault.Internal. An unknown kind or Ran value means that it is unknown whether
// the request ran.
func ErrorFromFailure(f *rpc.Failure) error {
	kind := fault.Kind(f.Kind)
	if !fault.Known(kind) {
		return fault.New(fault.Internal, "agent returned an unknown error kind")
	}
	err := fault.NewRetryAfter(kind, time.Duration(f.RetryAfterMs)*time.Millisecond, "%s", f.Message)
	return fault.WithRan(err, parseRan(f.Ran), f.Repeatable)
}

func parseRan(s string) fault.Ran {
	switch ran := fault.Ran(s); ran {
	case fault.RanNo, fault.RanYes:
		return ran
	default:
		return fault.RanUnknown
	}
}
