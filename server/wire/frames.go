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

// ContentType is the type of a framed answer.
const ContentType = "application/vnd.cowsliptiller.frames"

// MaxChunk is the most bytes of an answer in one frame.
const MaxChunk = 32 << 10

// maxFrame bounds a frame: a chunk, its head, and the model list of a load
// report at 300 models with names of 128 bytes.
const maxFrame = MaxChunk + 64<<10

// Writer writes the frames of one attempt's answer. It is used by one goroutine.
type Writer struct {
	attempt  string
	out      io.Writer
	flush    func() error
	sequence uint64
	length   uint64
}

// NewWriter returns a writer for the attempt; flush pushes out what was written.
func NewWriter(attempt string, out io.Writer, flush func() error) *Writer {
	return &Writer{attempt: attempt, out: out, flush: flush}
}

// Accept writes the head of the target's answer.
func (w *Writer) Accept(a *rpc.Accepted) error {
	return w.write(&rpc.Frame{Part: &rpc.Frame_Accepted{Accepted: a}})
}

// Write writes answer bytes as chunks.
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

// End marks the answer as whole; the length is filled in.
func (w *Writer) End(e *rpc.End) error {
	e.Length = w.length
	return w.write(&rpc.Frame{Part: &rpc.Frame_End{End: e}})
}

// Fail ends the answer with a failure.
func (w *Writer) Fail(f *rpc.Failure) error {
	return w.write(&rpc.Frame{Part: &rpc.Frame_Failure{Failure: f}})
}

func (w *Writer) write(f *rpc.Frame) error {
	f.Attempt = w.attempt
	f.Sequence = w.sequence
	w.sequence++
	if _, err := protodelim.MarshalTo(w.out, f); err != nil {
		return err
	}
	return w.flush()
}

// Reader reads the frames of one attempt's answer. It is used by one goroutine.
type Reader struct {
	attempt  string
	in       *bufio.Reader
	sequence uint64
	length   uint64
	accepted bool
	done     bool
}

// NewReader returns a reader that takes only the attempt's frames.
func NewReader(attempt string, in io.Reader) *Reader {
	return &Reader{attempt: attempt, in: bufio.NewReader(in)}
}

// Accepted reports whether the target's answer has begun.
func (r *Reader) Accepted() bool {
	return r.accepted
}

// Next returns the next frame. After End or Failure it returns io.EOF. The rest
// is fault.StreamBroken: the body ended early, or a frame is of another attempt,
// out of order, of the wrong length, or too large.
func (r *Reader) Next() (*rpc.Frame, error) {
	if r.done {
		return nil, io.EOF
	}
	f := new(rpc.Frame)
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(r.in, f)
	if err != nil {
		r.done = true
		return nil, broken(err)
	}
	if err := r.check(f); err != nil {
		r.done = true
		return nil, err
	}
	return f, nil
}

// check holds the fixed rules of a framed answer.
func (r *Reader) check(f *rpc.Frame) error {
	if f.Attempt != r.attempt {
		return fault.New(fault.StreamBroken, "a reply to another attempt came")
	}
	if f.Sequence != r.sequence {
		return fault.New(fault.StreamBroken, "frame %d came where %d was due", f.Sequence, r.sequence)
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
	return fault.New(fault.StreamBroken, "a frame without a part came")
}

func (r *Reader) checkAccepted() error {
	if r.accepted {
		return fault.New(fault.StreamBroken, "the answer began twice")
	}
	r.accepted = true
	return nil
}

func (r *Reader) checkChunk(chunk []byte) error {
	if !r.accepted {
		return fault.New(fault.StreamBroken, "a chunk came before the answer's head")
	}
	r.length += uint64(len(chunk))
	return nil
}

func (r *Reader) checkEnd(end *rpc.End) error {
	if !r.accepted {
		return fault.New(fault.StreamBroken, "the end came before the answer's head")
	}
	if end.Length != r.length {
		return fault.New(fault.StreamBroken, "the answer has %d bytes, %d came", end.Length, r.length)
	}
	r.done = true
	return nil
}

func broken(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.New(fault.StreamBroken, "the answer ended before its end mark")
	}
	return fault.New(fault.StreamBroken, "the answer broke off: %v", err)
}

// FailureOf returns the frame for an error.
func FailureOf(err error) *rpc.Failure {
	e := fault.From(err)
	return &rpc.Failure{
		Kind:         string(e.Kind),
		Message:      e.Message,
		Ran:          string(e.Ran),
		Repeatable:   e.Repeatable,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// ErrorOf returns the error of a failure frame. A kind or a value that is not
// in the closed lists is taken as fault.Internal, whose run is unknown.
func ErrorOf(f *rpc.Failure) error {
	kind := fault.Kind(f.Kind)
	if !fault.Known(kind) {
		return fault.New(fault.Internal, "an agent answered with an unknown error kind")
	}
	err := fault.After(kind, time.Duration(f.RetryAfterMs)*time.Millisecond, "%s", f.Message)
	return fault.WithRan(err, ranOf(f.Ran), f.Repeatable)
}

func ranOf(s string) fault.Ran {
	switch ran := fault.Ran(s); ran {
	case fault.RanNo, fault.RanYes:
		return ran
	default:
		return fault.RanUnknown
	}
}
