package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/upstream"
)

// floodServer responds to each request with prefix and then with filler until its peer closes the
// connection. Without a filler it sends nothing more.
type floodServer struct {
	*rawServer
	sent  atomic.Int64  // bytes accepted by the kernel
	ended chan struct{} // one value for each connection that has ended
}

func newFloodServer(prefix, filler string) *floodServer {
	s := &floodServer{ended: make(chan struct{}, 64)}
	part := bytes.Repeat([]byte(filler), 1+(4<<10)/max(1, len(filler)))
	s.rawServer = newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
		defer func() { s.ended <- struct{}{} }()
		defer c.Close()
		if !p.readRequest(r) {
			return
		}
		// A small send buffer keeps the sent bytes close to those that were read.
		_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
		n, err := io.WriteString(c, prefix)
		if filler == "" {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		for ; err == nil; n, err = c.Write(part) {
			s.sent.Add(int64(n))
		}
	})
	return s
}

// socketBuffers, in bytes, is what a loopback connection holds beyond what was read of it: the
// receive buffer grows only while its reader keeps up.
const socketBuffers = 8 << 20

// maxWait is far above what a bounded exchange takes and far below its context's deadline.
const maxWait = 3 * time.Second

// call sends a request whose context ends long after maxWait.
func (s *floodServer) call(pool *upstream.Pool, method string) (*upstream.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxWait)
	DeferCleanup(cancel)
	return pool.Do(ctx, &upstream.Request{Address: s.Addr().String(), Method: method, RequestURI: "/", Host: "h", Header: http.Header{}})
}

var _ = Describe("a target that sends bytes without end", func() {
	// Guards against a response head that fills the memory until the call's deadline.
	DescribeTable("fails the call in a bounded head", func(prefix, filler string) {
		s := newFloodServer(prefix, filler)
		start := time.Now()
		_, err := s.call(upstream.NewPool(time.Now), "POST")
		Expect(err).To(MatchError(upstream.ErrHeadTooLong))
		Expect(upstream.MaybeSent(err)).To(BeTrue())
		Expect(time.Since(start)).To(BeNumerically("<", maxWait))
		Eventually(s.ended).Should(Receive())
		Expect(s.sent.Load()).To(BeNumerically("<", upstream.MaxHeadBytes+socketBuffers))
	},
		Entry("in the status line", "", "x"),
		Entry("in the reason phrase", "HTTP/1.1 200 ", "x"),
		Entry("in a header's name", "HTTP/1.1 200 OK\r\n", "x"),
		Entry("in a header's value", "HTTP/1.1 200 OK\r\nA: ", "x"),
		Entry("in continued lines of a header", "HTTP/1.1 200 OK\r\nA: b\r\n", " x\r\n"),
		Entry("in headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		Entry("in 1xx responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("in 1xx responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"),
	)

	// Guards against a limit that rejects a large head, or that counts bytes of the body.
	It("does not affect a head up to the limit and a body beyond it", func() {
		head := "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\nA: "
		head += strings.Repeat("x", upstream.MaxHeadBytes-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
		Expect(head).To(HaveLen(upstream.MaxHeadBytes))
		body := strings.Repeat("y", 1_000_000)
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			for p.readRequest(r) {
				_, _ = io.WriteString(c, head+body)
			}
		})
		pool := upstream.NewPool(time.Now)
		for range 3 {
			got, err := get(pool, p)
			Expect(err).NotTo(HaveOccurred())
			Expect(got == body).To(BeTrue())
		}
		_, conns := p.counts()
		Expect(conns).To(Equal(1))
	})

	// Guards against a body whose overhead is read without end while none of it is content.
	DescribeTable("fails the body in bounded overhead", func(prefix, filler string) {
		s := newFloodServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+prefix, filler)
		a, err := s.call(upstream.NewPool(time.Now), "POST")
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		n, err := io.Copy(io.Discard, a.Body)
		Expect(err).To(HaveOccurred())
		Expect(n).To(BeNumerically("<", 64<<10))
		a.Close()
		Expect(time.Since(start)).To(BeNumerically("<", maxWait))
		Eventually(s.ended).Should(Receive())
		Expect(s.sent.Load()).To(BeNumerically("<", socketBuffers))
	},
		Entry("in a chunk's size", "", "0"),
		Entry("in a chunk's extension", "1;", "x"),
		Entry("in extensions of short chunks", "", "1;"+strings.Repeat("x", 100)+"\r\na\r\n"),
		Entry("in a trailer's name", "0\r\n", "x"),
		Entry("in a trailer's value", "0\r\nA: ", "x"),
		Entry("in trailers", "0\r\n", "A: b\r\n"),
	)

	// Guards against bytes after a response that are read as the next one.
	DescribeTable("does not get another request on its connection", func(method, response string) {
		s := newFloodServer(response, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		pool := upstream.NewPool(time.Now)
		for range 3 {
			a, err := s.call(pool, method)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(a.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).NotTo(ContainSubstring("other"))
			before := s.sent.Load()
			Eventually(s.sent.Load).Should(BeNumerically(">", before))
			a.Close()
		}
		requests, conns := s.counts()
		Expect([]int{requests, conns}).To(Equal([]int{3, 3}))
		Expect(s.sent.Load()).To(BeNumerically("<", 3*socketBuffers))
	},
		Entry("after a length", "POST", okResponse),
		Entry("after the last chunk", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("after a response to HEAD", "HEAD", "HTTP/1.1 200 OK\r\n\r\n"),
		Entry("after a 204", "POST", "HTTP/1.1 204 No Content\r\n\r\n"),
		Entry("after a 304", "GET", "HTTP/1.1 304 Not Modified\r\n\r\n"),
	)
})

var _ = Describe("a response that is not needed", func() {
	// Guards against a body without end that holds up the call that it does not serve.
	DescribeTable("is given up where its end does not come soon", func(head, filler string) {
		s := newFloodServer(head, filler)
		a, err := s.call(upstream.NewPool(time.Now), "POST")
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		a.Discard()
		Expect(time.Since(start)).To(BeNumerically("<", maxWait))
		Eventually(s.ended).Should(Receive())
		Expect(s.sent.Load()).To(BeNumerically("<", socketBuffers))
	},
		Entry("with a body that goes on", "HTTP/1.1 503 Full\r\n\r\n", "x"),
		Entry("with a body that stops", "HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nx", ""),
	)

	// Guards against a new connection for each retry.
	It("leaves its connection to the next request where it is short", func() {
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			for p.readRequest(r) {
				_, _ = io.WriteString(c, okResponse)
			}
		})
		pool := upstream.NewPool(time.Now)
		for range 3 {
			a, err := pool.Do(context.Background(), &upstream.Request{Address: p.Addr().String(), Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}})
			Expect(err).NotTo(HaveOccurred())
			a.Discard()
		}
		Expect(get(pool, p)).To(Equal("ok"))
		requests, conns := p.counts()
		Expect([]int{requests, conns}).To(Equal([]int{4, 1}))
	})

	// Guards against a target whose host responds and counts as unreachable.
	DescribeTable("shows that its host responds", func(head, filler string) {
		s := newFloodServer(head, filler)
		address := s.Addr().String()
		r := &upstream.Request{Address: address, Method: http.MethodGet, RequestURI: "/report", Host: "h", Header: http.Header{}}
		Expect(upstream.NewPool(time.Now).Responds(context.Background(), address, r, 1, maxWait)).To(BeTrue())
		Eventually(s.ended).Should(Receive())
	},
		Entry("with a body that goes on", "HTTP/1.1 200 OK\r\n\r\n", "x"),
		Entry("with a body that stops", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", ""),
	)
})

var _ = Describe("the error of a response that cannot be parsed", func() {
	// Guards against bytes of another caller's answer in an error that reaches a caller or a log.
	DescribeTable("quotes nothing of it", func(response, want string) {
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			p.readRequest(r)
			_, _ = io.WriteString(c, response)
			_ = c.Close()
		})
		_, err := get(upstream.NewPool(time.Now), p)
		Expect(err).To(MatchError(want))
		Expect(upstream.MaybeSent(err)).To(BeTrue())
	},
		Entry("in the status line", "secret\r\n\r\n", "malformed HTTP response"),
		Entry("in the version", "secret 200 OK\r\n\r\n", "malformed HTTP version"),
		Entry("in the status", "HTTP/1.1 secret OK\r\n\r\n", "malformed HTTP status code"),
		Entry("in a header", "HTTP/1.1 200 OK\r\nsecret of another\r\n\r\n", "malformed MIME header: missing colon"),
		Entry("in the length", "HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n", "bad Content-Length"),
		Entry("in two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: secret\r\n\r\n", "http: message cannot contain multiple Content-Length headers; got ["),
		Entry("in the framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\n", "unsupported transfer encoding"),
	)
})
