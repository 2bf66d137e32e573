package inbound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/connlimit"
	"cowsliptiller/server/inbound"
)

var _ = Describe("a connection beyond the limit", func() {
	// Guards against clients that send nothing and keep callers out.
	It("replaces one without a request", func() {
		var replaced atomic.Int64
		c := serveCallersWith(inbound.Options{MaxConnections: 1, OnReplaced: func(n int) { replaced.Add(int64(n)) }})
		silent := c.dial()
		Eventually(c.set.Readers).Should(Equal(1))
		second := c.dial()
		second.send(wholeRequest)
		c.advance(connlimit.MinAge)
		Expect(second.answer()).To(Equal("/next"))
		_, err := silent.answer()
		Expect(err).To(HaveOccurred())
		Expect(replaced.Load()).To(Equal(int64(1)))
	})

	// Guards against stalled requests that hold all connections.
	It("lets requests end if all have one", func() {
		full := make(chan int, 100)
		c := serveCallersWith(inbound.Options{MaxConnections: 1, OnFull: func(n int) {
			select {
			case full <- n:
			default:
			}
		}})
		c.dial().send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		c.dial()
		Eventually(full).Should(Receive(Equal(1)))
		close(c.release)
	})
})

var _ = Describe("a header", func() {
	limited := func() inbound.HeaderLimits {
		return inbound.HeaderLimits{Timeout: headerTimeout, Bytes: 8 << 10}
	}

	// Guards against headers over the deployment's limit and under the server's.
	It("over the limit is refused, also without its end", func() {
		conn := serveCallersWith(inbound.Options{HeaderLimits: limited}).dial()
		conn.send("GET /next HTTP/1.1\r\nHost: h\r\nPadding: " + strings.Repeat("x", 32<<10))
		text, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(HavePrefix("HTTP/1.1 431 "))
	})

	// Guards against many headers without an end, each within its limit.
	It("without its end gives way if all together are too large", func() {
		c := serveCallersWith(inbound.Options{HeaderLimits: limited, MaxHeaderBytes: 4 << 10})
		first := c.dial()
		first.send("GET /next HTTP/1.1\r\nHost: h\r\nPadding: " + strings.Repeat("x", 3<<10))
		Eventually(c.listener.read.Load).Should(BeNumerically(">", 3<<10))
		Eventually(c.set.Readers).Should(Equal(1))
		c.advance(connlimit.MinAge)
		second := c.dial()
		second.send("GET /next HTTP/1.1\r\nHost: h\r\nPadding: " + strings.Repeat("x", 3<<10))
		_, err := first.answer()
		Expect(err).To(HaveOccurred())
		second.send("\r\n\r\n")
		Expect(second.answer()).To(Equal("/next"))
	})
})

// Guards against clients that use up the descriptors at listeners without requests of callers.
var _ = Describe("a limited listener", func() {
	serve := func(h http.HandlerFunc) (address string) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnContext: inbound.LimitedContext}
		go func() { _ = server.Serve(inbound.Limited(l, 2)) }()
		DeferCleanup(server.Close)
		return l.Addr().String()
	}

	// Guards against the end of connections of a large fleet's processes.
	It("does not limit connections that are exempt", func() {
		address := serve(func(_ http.ResponseWriter, r *http.Request) { inbound.Exempt(r.Context()) })
		var conns []net.Conn
		for range 8 {
			c, err := net.Dial("tcp4", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			_, err = io.WriteString(c, wholeRequest)
			Expect(err).NotTo(HaveOccurred())
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, c)
		}
		for _, c := range conns {
			_, err := io.WriteString(c, wholeRequest)
			Expect(err).NotTo(HaveOccurred())
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("closes the connection from which nothing was read for longest", func() {
		address := serve(func(http.ResponseWriter, *http.Request) {})
		for range 4 {
			conn, err := net.Dial("tcp4", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		Eventually(func() error {
			resp, err := http.Get("http://" + address)
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}, 10*time.Second).Should(Succeed())
	})
})
