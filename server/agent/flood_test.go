package agent_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/agent"
)

// flood is a target that answers each request with prefix and then with filler until its peer
// closes the connection. Without a filler it sends nothing more and leaves the connection open.
type flood struct {
	url  string
	sent atomic.Int64 // bytes accepted by the kernel
}

func newFlood(prefix, filler string) *flood {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	f := &flood{url: "http://" + l.Addr().String()}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go f.serve(c, prefix, filler)
		}
	}()
	return f
}

func (f *flood) serve(c net.Conn, prefix, filler string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	n, err := io.WriteString(c, prefix)
	if filler == "" {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	part := bytes.Repeat([]byte(filler), 1+(4<<10)/len(filler))
	for ; err == nil; n, err = c.Write(part) {
		f.sent.Add(int64(n))
	}
}

// maxSent, in bytes, is more than a head up to its limit and the socket buffers, and less than a
// head up to the limit of net/http, 10 MB.
const maxSent = 6 << 20

var _ = Describe("a target's answer that has no end", func() {
	// Guards against a response head that fills the memory.
	DescribeTable("fails in a bounded head", func(prefix, filler string) {
		f := newFlood(prefix, filler)
		target := agent.NewHTTPTarget(f.url)
		for _, repeatable := range []bool{false, true} {
			_, err := target.Call(context.Background(), &agent.Call{Attempt: "a", Path: "/", Repeatable: repeatable})
			Expect(fault.Is(err, fault.TargetFailed)).To(BeTrue())
			Expect(fault.From(err).Ran).NotTo(Equal(fault.RanNo))
		}
		_, err := target.Status(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(target.Unload(context.Background(), agent.ModelOrder{Model: "m"})).NotTo(Succeed())
		Expect(f.sent.Load()).To(BeNumerically("<", 4*maxSent))
	},
		Entry("in the status line", "", "x"),
		Entry("in a header's value", "HTTP/1.1 200 OK\r\nA: ", "x"),
		Entry("in headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		Entry("in 1xx answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	)

	// Guards against an order whose answer is known and that ends at its time limit.
	DescribeTable("does not hold up an order beyond its status", func(prefix, filler string, want fault.Kind) {
		f := newFlood(prefix, filler)
		start := time.Now()
		err := agent.NewHTTPTarget(f.url).Unload(context.Background(), agent.ModelOrder{Model: "m"})
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		if want == "" {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(fault.Is(err, want)).To(BeTrue())
		}
		Expect(f.sent.Load()).To(BeNumerically("<", maxSent))
	},
		Entry("after a success", "HTTP/1.1 200 OK\r\n\r\n", "x", fault.Kind("")),
		Entry("after a success, slowly", "HTTP/1.1 200 OK\r\n\r\n{", "", fault.Kind("")),
		Entry("after a failure, slowly", "HTTP/1.1 507 Full\r\n\r\n{", "", fault.NoCapacity),
		Entry("after a failure that is no JSON", "HTTP/1.1 507 Full\r\n\r\n", "x", fault.NoCapacity),
		Entry("after a failure in JSON", "HTTP/1.1 404 Not Found\r\n\r\n", " ", fault.NotHere),
	)

	// Guards against bytes of another caller's answer in an error that reaches a caller or a log.
	It("quotes nothing of a head that cannot be parsed", func() {
		f := newFlood("secret\r\n\r\n", "")
		_, err := agent.NewHTTPTarget(f.url).Call(context.Background(), &agent.Call{Attempt: "a", Path: "/"})
		Expect(fault.Is(err, fault.TargetFailed)).To(BeTrue())
		Expect(err.Error()).To(HaveSuffix(": malformed HTTP response"))
	})
})
