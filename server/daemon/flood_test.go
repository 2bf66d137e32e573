package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// newFlood starts a target that answers with prefix and then with filler until its peer closes the
// connection. sent counts the bytes that its kernel accepted.
func newFlood(prefix, filler string, sent *atomic.Int64) (address string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go floodConn(c, prefix, filler, sent)
		}
	}()
	return l.Addr().String()
}

func floodConn(c net.Conn, prefix, filler string, sent *atomic.Int64) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	n, err := io.WriteString(c, prefix)
	for part := strings.Repeat(filler, 4<<10); err == nil; n, err = io.WriteString(c, part) {
		sent.Add(int64(n))
	}
}

var _ = Describe("the client of an agent for its target and the platform", func() {
	// maxSent, in bytes, is more than the bounds of a head and a body and the socket buffers, and less
	// than the limit of net/http for a head.
	const maxSent = 8 << 20

	// Guards against an answer without end that is read to the call's time limit, or into memory.
	DescribeTable("ends an answer without end", func(prefix, filler string) {
		var sent atomic.Int64
		target := &platform.Target{Address: newFlood(prefix, filler, &sent), Client: plainClient()}
		list := &platform.List{Address: target.Address, Client: plainClient()}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := target.Report(ctx)
		Expect(err).To(HaveOccurred())
		_, err = target.Identify(ctx, "/healthz")
		Expect(err).To(HaveOccurred())
		result, _ := target.Send(ctx, platform.Order{})
		Expect(result).To(BeElementOf(platform.OrderFailed, platform.OrderAlreadyDone))
		_, _, err = list.Read(ctx)
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(sent.Load()).To(BeNumerically("<", 4*maxSent))
	},
		Entry("in the status line", "", "x"),
		Entry("in a header", "HTTP/1.1 200 OK\r\nA: ", "x"),
		Entry("in headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		Entry("in 1xx answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("in a body", "HTTP/1.1 200 OK\r\n\r\n", "["),
		Entry("in a value of a body", "HTTP/1.1 200 OK\r\n\r\n{\"Id\":\"", "x"),
		Entry("in white space of a body", "HTTP/1.1 200 OK\r\n\r\n", " "),
	)
})
