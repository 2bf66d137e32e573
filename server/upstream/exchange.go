package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/coord/framing"
	"cowsliptiller/server/dial"
)

// Request is one call to a target. All but the headers is sent as the caller sent it.
type Request struct {
	Address    string // IP:port
	Method     string
	RequestURI string // request URI: path and query, unchanged
	Host       string
	Header     http.Header
	Body       []byte
	// NonRepeatable marks a call that must not be repeated. It is sent only over a new
	// connection or one that was idle for at most nonRepeatableMaxIdle.
	NonRepeatable bool
	// NewConnection marks a request whose id was sent to the address before. A second copy of an answer to that one may
	// wait on an idle connection, and would be taken for the answer to this one.
	NewConnection bool
	// Expired reports whether the request must not be sent any more; nil: it may be sent at
	// any time. It is called right before the first byte is written.
	Expired func() bool
	// KeepAliveTimeout returns how long the target keeps an idle connection, as announced in
	// the response headers; 0: not announced. A nil function means not announced.
	KeepAliveTimeout func(http.Header) time.Duration
}

// ErrExpired is the cause of an Error if Request.Expired reported true.
var ErrExpired = errors.New("the request's send time has passed")

// Error is the error of a request that got no response.
type Error struct {
	Sent bool // some of it may have reached the target
	// Unacknowledged is how many bytes the target had not acknowledged when the context
	// ended; 0 if the context did not end, -1 if the kernel does not report it.
	Unacknowledged int
	Err            error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MaybeSent reports whether a request that failed with err may have reached the target.
func MaybeSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// Unacknowledged returns Error.Unacknowledged of a request that failed with err.
func Unacknowledged(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		return 0
	}
	return e.Unacknowledged
}

// Response is a target's response. Close must be called once. Closing it before the end
// of its body resets the connection, which cancels the request at the target.
type Response struct {
	Status int
	Header http.Header
	Length int64 // Content-Length in bytes; -1: unknown
	// Framing is how the body's end is marked. With framing.UntilClose, a body that was read
	// without an error may be truncated.
	Framing framing.Framing
	Body    io.Reader
	// Reused reports that the connection had carried another request before.
	Reused bool

	exchange   *exchange
	atEOF      bool // the body was read to its end
	closeAfter bool // the target closes the connection after the response
}

// exchange is a request in progress on its connection.
type exchange struct {
	pool        *Pool
	request     *Request
	conn        *conn
	bodyWritten chan error // result of writing a body concurrently with reading the response; nil: written inline
	once        sync.Once
	stop        func() bool
	canceled    chan struct{} // closed when cancel has reset the connection
	// unacknowledged is set before cancel closes the connection; see Error.
	unacknowledged atomic.Int64
}

// maxInlineBody is the size in bytes up to which a body is written before the response
// is read. It fits into the socket buffers, so that a target that responds before it
// has read the body does not block the write.
const maxInlineBody = 32 << 10

// Do sends a request and returns when the response header has been read. The end of
// the context resets the connection, also while the body is read. The error is an
// *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, reused, err := p.connection(ctx, r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.Expired != nil && r.Expired() {
		_ = c.Close() // how long it had been idle is not known any more
		return nil, &Error{Err: ErrExpired}
	}
	answer, err := p.exchange(ctx, c, r)
	if err == nil {
		answer.Reused = reused
	}
	return answer, err
}

// connection returns a connection for a request, and whether it was used before.
func (p *Pool) connection(ctx context.Context, r *Request) (c *conn, reused bool, err error) {
	if r.NewConnection {
		c, err = openConn(ctx, r.Address)
		return c, false, err
	}
	return p.acquire(ctx, r.Address, r.NonRepeatable)
}

// exchange sends a request over c, whose owner it becomes.
func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Response, error) {
	x := &exchange{pool: p, request: r, conn: c, canceled: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, x.cancel)
	if err := x.send(); err != nil {
		return nil, x.fail(ctx, err)
	}
	resp, err := x.receive()
	if err != nil {
		return nil, x.fail(ctx, err)
	}
	a := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framing: framingOf(r.Method, resp), exchange: x, closeAfter: resp.Close,
	}
	a.Body = &eofReader{answer: a, reader: checkedBody{resp.Body, resp}}
	return a, nil
}

// framingOf returns how a response marks its end. That to a HEAD request has no body.
func framingOf(method string, resp *http.Response) framing.Framing {
	if method == http.MethodHead {
		return framing.Length
	}
	return framing.Of(resp.ContentLength, resp.TransferEncoding)
}

// fail ends an exchange that got no response.
func (x *exchange) fail(ctx context.Context, err error) *Error {
	x.abort()
	return &Error{Sent: true, Unacknowledged: int(x.unacknowledged.Load()), Err: contextError(ctx, err)}
}

// cancel resets the connection when the context ends.
func (x *exchange) cancel() {
	defer close(x.canceled)
	x.unacknowledged.Store(int64(x.conn.unacknowledged()))
	dial.Abort(x.conn.Conn)
}

func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (x *exchange) send() error {
	r := x.request
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxInlineBody {
		b.Write(r.Body)
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		return err
	}
	x.bodyWritten = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(r.Body)
		x.bodyWritten <- err
	}()
	return nil
}

// receive reads the head of the final response and skips 1xx responses.
func (x *exchange) receive() (*http.Response, error) {
	method := &http.Request{Method: x.request.Method}
	x.conn.heads.begin()
	for {
		resp, err := http.ReadResponse(x.conn.reader, method)
		if err != nil && x.conn.heads.tooLong {
			return nil, ErrHeadTooLong // the parser may report the line that the limit has cut
		}
		if err != nil {
			return nil, WithoutContent(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// WithoutContent removes from a parser's error what it quotes of the response: that may be an answer
// to another caller, and errors reach callers and logs.
func WithoutContent(err error) error {
	text, _, quotes := strings.Cut(err.Error(), `"`)
	if !quotes {
		return err
	}
	return errors.New(strings.TrimRight(text, ": "))
}

// abort ends an exchange without a complete response. Its connection is reset when abort returns: a retry must not
// be sent before.
func (x *exchange) abort() {
	x.once.Do(func() {
		if !x.stop() {
			<-x.canceled
		}
		dial.Abort(x.conn.Conn)
	})
}

// release ends an exchange with a complete response and returns its connection to the pool.
// It closes the connection if the target does, or if the request body has not been written
// completely, because the target would read the next request as the rest of that body.
func (x *exchange) release(h http.Header, closeAfter bool) {
	x.once.Do(func() {
		if !x.stop() || closeAfter || !x.bodySent() || !x.conn.reusable() {
			_ = x.conn.Close()
			return
		}
		if x.request.KeepAliveTimeout != nil {
			x.conn.targetIdleLimit = x.request.KeepAliveTimeout(h)
		}
		x.pool.put(x.request.Address, x.conn)
	})
}

func (x *exchange) bodySent() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// eofReader records that the response's body ended with io.EOF.
type eofReader struct {
	answer *Response
	reader io.Reader
}

func (b *eofReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.answer.atEOF = true
	}
	return n, err
}

// CloseAfter has the connection closed after the response.
func (a *Response) CloseAfter() { a.closeAfter = true }

// Close ends the exchange. The connection is reused if the response was read to its end.
func (a *Response) Close() {
	if a.atEOF || a.Length == 0 {
		a.exchange.release(a.Header, a.closeAfter)
		return
	}
	a.exchange.abort()
}

// Bounds of reading a response that is not needed.
const (
	discardBytes   = 16 << 10
	discardTimeout = 50 * time.Millisecond // a body that follows its head arrives within a few
)

// Discard ends the exchange of a response that is not needed. The connection is kept if the rest
// is short and arrives soon: a body may have no end.
func (a *Response) Discard() {
	_ = a.exchange.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, a.Body, discardBytes+1) // Close decides by whether the end was read
	_ = a.exchange.conn.SetReadDeadline(time.Time{})
	a.Close()
}

// Abort ends the exchange and resets its connection, for a response that cannot be
// trusted.
func (a *Response) Abort() { a.exchange.abort() }
