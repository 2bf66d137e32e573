package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/dial"
	"cowsliptiller/server/upstream"
)

// longBody is longer than the socket buffers of a connection.
var longBody = make([]byte, 8<<20)

// post sends a long request.
func post(p *rawServer) (*upstream.Response, error) {
	return upstream.NewPool(time.Now).Do(context.Background(), &upstream.Request{
		Address: p.Addr().String(), Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: longBody,
	})
}

// newEarlyServer responds to a request's header, calls end, and reads the body meanwhile if readsOn is set. ended gets a value
// after each connection's end.
func newEarlyServer(response string, readsOn bool, end func(net.Conn)) (p *rawServer, ended chan struct{}) {
	ended = make(chan struct{}, 64)
	p = newRawServer(func(_ *rawServer, c net.Conn, r *bufio.Reader, _ int) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if readsOn {
			go func() { _, _ = io.Copy(io.Discard, req.Body) }()
		}
		_, _ = io.WriteString(c, response)
		end(c)
		ended <- struct{}{}
	})
	return p, ended
}

const (
	closeDelimited = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\npart of"
	eventsBreak    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
)

var _ = Describe("a response to a request that is still being sent", func() {
	// Guards against a connection whose reset was reported to the write of the request, so that the body looks complete.
	DescribeTable("does not look complete after a reset", func(response string) {
		for _, readsOn := range []bool{false, true} {
			for _, late := range []bool{false, true} {
				p, ended := newEarlyServer(response, readsOn, dial.Abort)
				for range 5 {
					a, err := post(p)
					if err != nil {
						continue // the reset has overtaken the header
					}
					if late {
						<-ended
					}
					_, err = io.ReadAll(a.Body)
					Expect(err).To(MatchError(syscall.ECONNRESET))
					a.Close()
				}
			}
		}
	},
		Entry("of a body without a length", closeDelimited),
		Entry("of a body of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart of"),
		Entry("between two events", eventsBreak),
		Entry("of a failure's body", "HTTP/1.1 500 Failed\r\n\r\npart of"),
		Entry("before a body", "HTTP/1.1 200 OK\r\n\r\n"),
	)

	// Guards against failing a complete response because its request was not read.
	DescribeTable("is complete whatever becomes of the request", func(response string) {
		p, ended := newEarlyServer(response, false, dial.Abort)
		for range 5 {
			a, err := post(p)
			if err != nil {
				continue // the reset has overtaken the header
			}
			<-ended
			body, err := io.ReadAll(a.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("ok"))
			a.Close()
		}
	},
		Entry("with a length", okResponse),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
	)

	// Guards against failing a response that ends in order while its request is read on.
	It("is complete after an orderly end", func() {
		p, _ := newEarlyServer("HTTP/1.1 200 OK\r\n\r\nok", true, func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() })
		a, err := post(p)
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		body, err := io.ReadAll(a.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
	})

	// Guards against the same where the request has been read.
	It("is complete after an orderly end of the connection", func() {
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			p.readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
			_ = c.Close()
		})
		a, err := post(p)
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		body, err := io.ReadAll(a.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
	})
})
