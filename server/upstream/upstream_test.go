package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// rawServer is a target on raw TCP connections. It counts requests and connections.
type rawServer struct {
	net.Listener
	mu       sync.Mutex
	requests int
	conns    int
}

// newRawServer starts a server that calls handle for each connection, numbered from 1.
func newRawServer(handle func(p *rawServer, c net.Conn, r *bufio.Reader, n int)) *rawServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &rawServer{Listener: l}
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			n := p.conns
			p.mu.Unlock()
			go handle(p, c, bufio.NewReader(c), n)
		}
	}()
	return p
}

// readRequest reads and counts one request. It returns false when the connection ended.
func (p *rawServer) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	return true
}

func (p *rawServer) counts() (requests, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests, p.conns
}

func get(pool *upstream.Pool, p *rawServer) (string, error) {
	a, err := pool.Do(context.Background(), &upstream.Request{Address: p.Addr().String(), Method: "GET", RequestURI: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("a call to a target", func() {
	It("reuses the connection after a complete response", func() {
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			for p.readRequest(r) {
				_, _ = io.WriteString(c, okResponse)
			}
		})
		pool := upstream.NewPool(time.Now)
		for range 5 {
			Expect(get(pool, p)).To(Equal("ok"))
		}
		requests, conns := p.counts()
		Expect([]int{requests, conns}).To(Equal([]int{5, 1}))
	})

	// Guards against a retry inside the client: a target reads a call on a reused
	// connection and closes it without a response. A second write could run the call
	// twice.
	It("is written once, and the error reports that it may have been sent", func() {
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, n int) {
			if p.readRequest(r) && n == 1 {
				_, _ = io.WriteString(c, okResponse)
			}
			p.readRequest(r)
			_ = c.Close()
		})
		pool := upstream.NewPool(time.Now)
		Expect(get(pool, p)).To(Equal("ok"))
		_, err := get(pool, p)
		Expect(err).To(HaveOccurred())
		Expect(upstream.MaybeSent(err)).To(BeTrue())
		Consistently(func() int { n, _ := p.counts(); return n }, 100*time.Millisecond).Should(BeNumerically("<=", 2))
	})

	It("reports that nothing was sent when dialing failed", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = get(upstream.NewPool(time.Now), &rawServer{Listener: l})
		Expect(err).To(HaveOccurred())
		Expect(upstream.MaybeSent(err)).To(BeFalse())
	})

	// A target sends bytes after a complete response. The next call on that connection
	// would read them as its response.
	It("does not reuse a connection with unread bytes after the response", func() {
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			for p.readRequest(r) {
				_, _ = io.WriteString(c, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
			}
		})
		pool := upstream.NewPool(time.Now)
		for range 3 {
			Expect(get(pool, p)).To(Equal("ok"))
		}
		_, conns := p.counts()
		Expect(conns).To(Equal(3))
	})

	It("distinguishes a truncated response from a complete one", func() {
		cut := newRawServer(func(_ *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			_ = c.Close()
		})
		_, err := get(upstream.NewPool(time.Now), cut)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		reset := newRawServer(func(_ *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		_, err = get(upstream.NewPool(time.Now), reset)
		Expect(err).To(HaveOccurred())
		ended := newRawServer(func(_ *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
			_ = c.Close()
		})
		Expect(get(upstream.NewPool(time.Now), ended)).To(Equal("ok"))
	})

	It("closes the connection when its context ends, also while the body is read", func() {
		closed := make(chan struct{})
		p := newRawServer(func(_ *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			_, _ = r.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		a, err := upstream.NewPool(time.Now).Do(ctx, &upstream.Request{Address: p.Addr().String(), Method: "GET", RequestURI: "/", Host: "h", Header: http.Header{}})
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_, err = io.ReadAll(a.Body)
		Expect(err).To(HaveOccurred())
		a.Close()
		Eventually(closed).Should(BeClosed())
	})

	It("skips 1xx responses, and sends a long body while an early response is read", func() {
		p := newRawServer(func(_ *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			_, _ = r.ReadString('\n')
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+okResponse)
			_, _ = io.Copy(io.Discard, r)
		})
		body := make([]byte, 4<<20)
		a, err := upstream.NewPool(time.Now).Do(context.Background(), &upstream.Request{Address: p.Addr().String(), Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: body})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(200))
		got, err := io.ReadAll(a.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("ok"))
		a.Close()
	})

	It("does not reuse a connection that was idle too long for a call that must not be repeated", func() {
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			for p.readRequest(r) {
				_, _ = io.WriteString(c, okResponse)
			}
		})
		var mu sync.Mutex
		now := time.Now()
		pool := upstream.NewPool(func() time.Time { mu.Lock(); defer mu.Unlock(); return now })
		Expect(get(pool, p)).To(Equal("ok"))
		mu.Lock()
		now = now.Add(time.Second)
		mu.Unlock()
		a, err := pool.Do(context.Background(), &upstream.Request{Address: p.Addr().String(), Method: "GET", RequestURI: "/", Host: "h", Header: http.Header{}, NonRepeatable: true})
		Expect(err).NotTo(HaveOccurred())
		a.Abort()
		_, conns := p.counts()
		Expect(conns).To(Equal(2))
	})
})
