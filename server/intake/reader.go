package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"cowsliptiller/coord/bodybudget"
	"cowsliptiller/coord/fault"
)

// Reader reads the request bodies of one process. It is safe for concurrent use.
type Reader struct {
	now      func() time.Time
	capacity int64

	mu      sync.Mutex // guards the budget and bodies; a connection's own lock is acquired while it is held
	budget  *bodybudget.Budget
	bodies  map[*bodybudget.Body]*Body // that arrive
	stopped map[any]error              // by owner; see Stop
	refused uint64
}

// NewReader returns a Reader for a process with that much memory, in bytes.
func NewReader(memory int64, now func() time.Time) *Reader {
	l := bodybudget.LimitsFor(memory)
	return &Reader{now: now, capacity: l.Bytes, budget: bodybudget.New(l), bodies: map[*bodybudget.Body]*Body{}, stopped: map[any]error{}}
}

// Source is what a body belongs to.
type Source struct {
	Workspace string    // empty: the request needs no key
	Arrived   time.Time // when the request's header arrived
	Limit     int64     // longest body, in bytes; 0: maxBody
	Deadline  time.Time // when the body must be whole; zero: none
	Owner     any       // whose bodies Stop rejects; nil: none
}

// maxBody bounds bodies without another limit.
const maxBody = 1 << 30

// Body is a request body in memory. It counts until Release.
type Body struct {
	content []byte

	reader   *Reader
	entry    *bodybudget.Body
	owner    any
	cancel   func() // ends a read in progress
	rejected error  // why the read was ended; guarded by the reader's lock
}

// Bytes returns the body; nil for a nil Body.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.content
}

// Release ends the count of a body whose request has ended. Release of nil has no effect.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	delete(b.reader.bodies, b.entry)
	b.reader.budget.Release(b.entry)
}

// Read reads the body of a request; nil without one. After an error the connection is closed once the
// response has been sent, without a wait for the rest of the body. Errors, all of requests that have not
// run: fault.TooLarge, also by the announced length alone; fault.Overloaded without memory for the body;
// fault.Expired after the deadline; fault.Canceled; that of Stop.
func (r *Reader) Read(w http.ResponseWriter, req *http.Request, s Source) (*Body, error) {
	if req.Body == nil || req.ContentLength == 0 {
		return nil, nil
	}
	if s.Limit <= 0 {
		s.Limit = maxBody
	}
	if req.ContentLength > s.Limit {
		Abandon(w, req)
		return nil, tooLarge(s.Limit)
	}
	connection := http.NewResponseController(w)
	if err := setDeadline(connection, s.Deadline); err != nil {
		return nil, err
	}
	b := r.begin(s, req.ContentLength, func() { _ = connection.SetReadDeadline(past) })
	if err := b.fill(req, s); err != nil {
		b.Release()
		Abandon(w, req)
		return nil, err
	}
	if err := setDeadline(connection, time.Time{}); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// setDeadline sets the deadline of reads, unless the writer is a recorder without a connection.
func setDeadline(connection *http.ResponseController, t time.Time) error {
	if err := connection.SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fault.New(fault.Internal, "read deadline: %v", err)
	}
	return nil
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// Abandon closes a request's connection once its response has been sent, and leaves the request without a
// body. net/http would wait for the rest of the body first, without a limit of time.
func Abandon(w http.ResponseWriter, req *http.Request) {
	req.Body = http.NoBody
	// After a body over its limit net/http delays the close, which resets a connection with unread bytes,
	// until the client has had time to read the response.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	// An error means that the connection has ended.
	_ = http.NewResponseController(w).SetReadDeadline(past)
}

// Bounds of a body that is not needed.
const (
	discardBytes = 4 << 10
	discardTime  = 100 * time.Millisecond
)

// Discard reads the body of a request that is rejected without it, so that the connection can be used
// again. A body that is not small or has not arrived is abandoned.
func Discard(w http.ResponseWriter, req *http.Request) {
	if req.Body == nil || req.Body == http.NoBody {
		return
	}
	connection := http.NewResponseController(w)
	if req.ContentLength > discardBytes || connection.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		Abandon(w, req)
		return
	}
	if _, err := io.CopyN(io.Discard, req.Body, discardBytes+1); err != io.EOF || connection.SetReadDeadline(time.Time{}) != nil {
		Abandon(w, req)
	}
}

func (r *Reader) begin(s Source, length int64, cancel func()) *Body {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &Body{reader: r, entry: r.budget.Begin(s.Workspace, length, s.Arrived), owner: s.Owner, cancel: cancel}
	r.bodies[b.entry] = b
	if err := r.stopped[s.Owner]; err != nil {
		r.cancel(b.entry, err)
	}
	return b
}

// firstBuffer is the first size of a body's buffer: an announced length takes no memory by itself.
const firstBuffer = 4 << 10

// fill reads the body to its end.
func (b *Body) fill(req *http.Request, s Source) error {
	most := req.ContentLength
	if most < 0 {
		most = s.Limit + 1 // one more byte shows that the body is too large
	}
	advanced := 0
	for {
		if len(b.content) == cap(b.content) && !b.grow(most, s.Arrived) {
			return b.rejection()
		}
		n, err := req.Body.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+n]
		switch {
		case int64(len(b.content)) > s.Limit:
			return tooLarge(s.Limit)
		case err == io.EOF || int64(len(b.content)) == req.ContentLength:
			return b.finish()
		case err != nil:
			return b.readError(err)
		case len(b.content)-advanced >= bodybudget.AdvanceBytes:
			advanced = len(b.content)
			b.advance()
		}
	}
}

// grow doubles the buffer, up to most bytes. It returns false if the body was rejected.
func (b *Body) grow(most int64, arrived time.Time) bool {
	now := arrived
	if cap(b.content) > 0 {
		now = b.reader.now() // a small body needs no look at the clock
	}
	size := min(max(2*int64(cap(b.content)), firstBuffer), most)
	if !b.reader.grow(b, size, now) {
		return false
	}
	larger := make([]byte, len(b.content), size)
	copy(larger, b.content)
	b.content = larger
	return true
}

func (r *Reader) grow(b *Body, size int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	granted := true
	for _, entry := range r.budget.Grow(b.entry, size, now) {
		granted = granted && entry != b.entry
		r.shed(entry)
	}
	return granted && b.rejected == nil
}

// shed rejects a body for lack of memory or of connections. The lock is held.
func (r *Reader) shed(entry *bodybudget.Body) {
	if _, arrives := r.bodies[entry]; arrives {
		r.refused++
		r.cancel(entry, errNoMemory())
	}
}

// cancel ends the read of a body that was rejected. The lock is held, so that the connection does not
// read another request yet.
func (r *Reader) cancel(entry *bodybudget.Body, cause error) {
	b := r.bodies[entry]
	delete(r.bodies, entry)
	b.rejected = cause
	b.cancel()
}

// rejection returns why the body was rejected; nil: it was not.
func (b *Body) rejection() error {
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	return b.rejected
}

// Stop rejects the bodies of an owner that arrive, and all later ones, with an error of requests that have not run. Whole
// bodies are not affected.
func (r *Reader) Stop(owner any, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped[owner] = err
	for entry, b := range r.bodies {
		if b.owner == owner {
			r.cancel(entry, err)
		}
	}
}

func (b *Body) advance() {
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	b.reader.budget.Advance(b.entry, b.reader.now())
}

func (b *Body) finish() error {
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	if b.rejected != nil {
		return b.rejected
	}
	if !b.reader.budget.Finish(b.entry) {
		return errNoMemory()
	}
	delete(b.reader.bodies, b.entry)
	return nil
}

func (b *Body) readError(err error) error {
	if rejected := b.rejection(); rejected != nil {
		return rejected
	}
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return fault.New(fault.Expired, "the body was not received before the deadline")
	}
	return fault.WithRan(fault.New(fault.Canceled, "reading the body: %v", err), fault.RanNo, true)
}

// ShedStalled rejects at most n bodies, those that have been stalled for longest. Their connections are
// closed after their responses.
func (r *Reader) ShedStalled(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.budget.ShedStalled(n, r.now()) {
		r.shed(entry)
	}
}

// Held returns the bytes of the bodies in memory.
func (r *Reader) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Held()
}

// Capacity returns the most bytes that bodies may hold.
func (r *Reader) Capacity() int64 { return r.capacity }

// Rejected returns how many bodies were rejected for lack of memory or of connections.
func (r *Reader) Rejected() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

func errNoMemory() error {
	return fault.NewRetryAfter(fault.Overloaded, bodybudget.StallTime, "this host has no memory for the request's body")
}

func tooLarge(limit int64) error {
	return fault.New(fault.TooLarge, "the body is longer than %d bytes", limit)
}
