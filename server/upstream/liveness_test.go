package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/framing"
	"cowsliptiller/server/dial"
	"cowsliptiller/server/upstream"
)

var _ = Describe("the probe of a target's process", func() {
	// Guards against taking a broken connection for the end of the target's process.
	It("distinguishes a process that listens from one that has ended", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		pool := upstream.NewPool(time.Now)
		Expect(pool.Probe(context.Background(), address)).To(Equal(framing.Running))
		Expect(l.Close()).To(Succeed())
		Expect(pool.Probe(context.Background(), address)).To(Equal(framing.Ended))
	})
})

var _ = Describe("the probe of a process that has closed a connection", func() {
	// serve accepts connections, numbered from 1, until the test ends.
	serve := func(handle func(l net.Listener, c net.Conn, n int)) string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			for n := 1; ; n++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				handle(l, c, n)
			}
		}()
		return l.Addr().String()
	}
	answer := func(status string) func(net.Listener, net.Conn, int) {
		return func(_ net.Listener, c net.Conn, _ int) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		}
	}
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	endAfterAccept := func(l net.Listener, c net.Conn, _ int) {
		_ = l.Close()
		reset(c)
	}
	keepOpen := func(net.Listener, net.Conn, int) {}
	alwaysReset := func(_ net.Listener, c net.Conn, _ int) { reset(c) }

	// Guards against taking a process that is ending for one that runs on, and an overloaded one for one
	// that has ended.
	DescribeTable("tells whether it runs on", func(handle func(net.Listener, net.Conn, int), request bool, want framing.Liveness) {
		address := serve(handle)
		var r *upstream.Request
		if request {
			r = &upstream.Request{Address: address, Method: http.MethodGet, RequestURI: "/report", Host: "h", Header: http.Header{}}
		}
		Expect(upstream.NewPool(time.Now).ProbeAfterClose(context.Background(), address, r)).To(Equal(want))
	},
		Entry("which responds", answer("200 OK"), true, framing.Running),
		Entry("which refuses the request", answer("503 Service Unavailable"), true, framing.Running),
		Entry("whose address another one has", answer("421 Misdirected Request"), true, framing.Ended),
		Entry("which is slow to respond", keepOpen, true, framing.Running),
		Entry("which keeps a connection open", keepOpen, false, framing.Running),
		Entry("which ends after it has accepted a connection with a request", endAfterAccept, true, framing.Ended),
		Entry("which ends after it has accepted a connection", endAfterAccept, false, framing.Ended),
		Entry("which resets connections beyond its limit", alwaysReset, true, framing.Running),
		Entry("which resets idle connections beyond its limit", alwaysReset, false, framing.Running),
	)

	It("finds no process where connections are refused", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		Expect(upstream.NewPool(time.Now).ProbeAfterClose(context.Background(), l.Addr().String(), nil)).To(Equal(framing.Ended))
	})
})

var _ = Describe("the probe of a target's host", func() {
	const (
		timeout  = 250 * time.Millisecond
		attempts = 3
	)

	report := func(address string) *upstream.Request {
		return &upstream.Request{Address: address, Method: http.MethodGet, RequestURI: "/report", Host: "h", Header: http.Header{}}
	}

	// Guards against a suspended host that counts as responding because its kernel accepts connections.
	It("needs a response to its request", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		address := l.Addr().String()
		pool := upstream.NewPool(time.Now)
		Expect(pool.Responds(context.Background(), address, report(address), attempts, timeout)).To(BeFalse())
		Expect(pool.Responds(context.Background(), address, nil, attempts, timeout)).To(BeTrue())
	})

	// Guards against one lost packet that makes a host look unreachable.
	It("is repeated over another connection", func() {
		connections := make(chan struct{}, 8)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			connections <- struct{}{}
			if len(connections) == 1 {
				<-r.Context().Done() // the first request gets no response
			}
		}))
		server.Start()
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		Expect(upstream.NewPool(time.Now).Responds(context.Background(), address, report(address), attempts, timeout)).To(BeTrue())
	})

	// Guards against leaving a busy target that resets connections beyond its limit.
	DescribeTable("takes a connection that the target ends for a response of its host", func(end func(net.Conn)) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				end(c)
			}
		}()
		address := l.Addr().String()
		Expect(upstream.NewPool(time.Now).Responds(context.Background(), address, report(address), attempts, timeout)).To(BeTrue())
	},
		Entry("by a reset", func(c net.Conn) { dial.Abort(c) }),
		Entry("in order", func(c net.Conn) { _ = c.Close() }),
	)

	It("takes a refused connection for a response of the host", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		Expect(upstream.NewPool(time.Now).Responds(context.Background(), address, report(address), attempts, timeout)).To(BeTrue())
	})
})
