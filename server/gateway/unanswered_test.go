package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
)

const lookup = "GET /lookup/x HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\n" +
	platform.HeaderRequestID + ": r-1\r\n" + platform.HeaderDeadline + ": 2500\r\n\r\n"

// keptConn is a caller's connection with a complete answer.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fleet) keepConn() *keptConn {
	GinkgoHelper()
	conn, err := net.Dial("tcp4", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	k := &keptConn{conn, bufio.NewReader(conn)}
	k.send(lookup)
	Expect(k.status()).To(Equal(200))
	return k
}

func (k *keptConn) send(text string) {
	GinkgoHelper()
	_, err := io.WriteString(k, text)
	Expect(err).NotTo(HaveOccurred())
}

// status returns the status of the next answer after it has been read to its end.
func (k *keptConn) status() (int, error) {
	r, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

var _ = Describe("a kept connection of a caller", func() {
	// Guards against requests that end without an answer and without a log line.
	It("is logged if it is closed with a part of a request", func() {
		f := newFleet("plain", answer(200, "served"))
		conn := f.keepConn()
		conn.send(lookup[:20])
		Expect(f.gateway.Close()).To(Succeed())
		Eventually(f.lines.String).Should(ContainSubstring(`"connection_cut"`))
		Expect(f.lines.String()).To(ContainSubstring(`"reason":"stop"`))
		Expect(f.lines.String()).To(ContainSubstring(`"deployment":1`))
	})

	// Guards against a stop that closes connections with requests that were not read yet.
	It("is answered for a request whose header is complete after the host stopped listening", func() {
		f := newFleet("plain", answer(200, "served"))
		conn := f.keepConn()
		conn.send(lookup[:20])
		stopped := f.stop()
		f.awaitNoListener()
		conn.send(lookup[20:])
		Expect(conn.status()).To(Equal(503))
		Eventually(stopped).Should(BeClosed())
		Expect(f.lines.String()).NotTo(ContainSubstring("connection_cut"))
	})

	It("does not hold up a stop with a header that is never complete", func() {
		f := newFleetWith(func(c *gateway.Config) { c.Grace = time.Hour }, "plain", false, answer(200, "served"))
		conn := f.keepConn()
		conn.send(lookup[:20])
		Eventually(f.stop(), 5*time.Second).Should(BeClosed())
		Expect(f.lines.String()).To(ContainSubstring(`"reason":"header"`))
	})
})

// stop drains and closes the gateway, as a process does.
func (f *fleet) stop() (stopped <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.gateway.Drain(context.Background())
		_ = f.gateway.Close()
	}()
	return done
}

func (f *fleet) awaitNoListener() {
	GinkgoHelper()
	Eventually(func() error {
		conn, err := net.Dial("tcp4", f.address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(HaveOccurred())
}
