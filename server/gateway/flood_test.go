package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// flooding is a target that sends prefix and then filler until its peer closes the connection;
// without a filler it sends nothing more. closed counts its connections that were closed.
func flooding(prefix, filler string, closed *atomic.Int64) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer closed.Add(1)
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		_, err = io.WriteString(conn, prefix)
		if filler == "" {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		part := repeatTo(filler, 4<<10)
		for err == nil {
			_, err = io.WriteString(conn, part)
		}
	}
}

// repeatTo repeats text until it has at least size bytes.
func repeatTo(text string, size int) string {
	out := make([]byte, 0, size+len(text))
	for len(out) < size {
		out = append(out, text...)
	}
	return string(out)
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// longDeadline, in milliseconds, is far above what a bounded attempt takes.
const longDeadline = "2500"

var _ = Describe("a target's answer without end", func() {
	// Guards against a refusal whose body has no end and holds the call until its deadline.
	DescribeTable("does not hold up a call that was not run", func(head, filler string) {
		var closed atomic.Int64
		f := newFleet("plain", flooding(head, filler, &closed))
		f.addTarget("i-2", "plain", answer(200, "booked"))
		f.wire.awaitPolls()
		for range 4 {
			start := time.Now()
			Expect(send(f.request("POST", "/order/", platform.HeaderDeadline, longDeadline)).body).To(Equal("booked"))
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		}
		Expect(f.arrivalsAt("i-1")).To(BeNumerically(">=", 1))
		Eventually(closed.Load).Should(BeEquivalentTo(f.arrivalsAt("i-1")))
	},
		Entry("and goes on", "HTTP/1.1 503 Full\r\n"+platform.HeaderNotRun+": 1\r\n\r\n", "x"),
		Entry("and says nothing more", "HTTP/1.1 503 Full\r\n"+platform.HeaderNotRun+": 1\r\nContent-Length: 9\r\n\r\nx", ""),
	)
})
