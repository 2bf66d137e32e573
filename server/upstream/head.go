package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"cowsliptiller/coord/framing"
)

// MaxHeadBytes bounds a response's head, in bytes, with the 1xx responses before it. A target in
// trouble may send one without end, at many connections at once. Short header lines take seven
// times their size once they are parsed.
const MaxHeadBytes = 16 << 10

// ErrHeadTooLong is the cause of an Error if a response's head exceeds MaxHeadBytes.
var ErrHeadTooLong = errors.New("the response's head is longer than 16 KiB")

// headChecker checks and bounds the heads of responses before they are parsed.
type headChecker struct {
	active  bool   // a head is being read
	head    []byte // what was read of it
	line    int    // where its last line begins
	total   int    // bytes of all heads of the response, with the 1xx responses before it
	tooLong bool
}

// begin expects the head of a response next.
func (h *headChecker) begin() { *h = headChecker{active: true, head: h.head[:0]} }

// check checks bytes that were read. What follows the head is not checked.
func (h *headChecker) check(p []byte) error {
	for h.active && len(p) > 0 {
		length := bytes.IndexByte(p, '\n') + 1
		endsLine := length > 0
		if !endsLine {
			length = len(p)
		}
		if h.total += length; h.total > MaxHeadBytes {
			h.tooLong = true
			return ErrHeadTooLong
		}
		h.head, p = append(h.head, p[:length]...), p[length:]
		if !endsLine {
			return nil
		}
		if err := h.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// endLine checks the head if its last line is empty.
func (h *headChecker) endLine() error {
	line := h.head[h.line:]
	h.line = len(h.head)
	if len(bytes.TrimRight(line, "\r\n")) > 0 {
		return nil
	}
	interim, err := framing.CheckHead(h.head)
	h.active, h.head, h.line = interim, h.head[:0], 0
	return err
}

// headReader checks the heads of the responses that are read.
type headReader struct {
	reader io.Reader
	headChecker
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if invalid := r.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// checkedBody is the body of a response whose trailers are checked at its end.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.response.Trailer {
		if !framing.IsFieldName(name) {
			return n, framing.ErrFieldName
		}
	}
	return n, io.EOF
}
