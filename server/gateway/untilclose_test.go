package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// raw is a target that sends text and closes the connection in order.
func raw(text string) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// rawResuming is raw for a request that begins a stream; one that continues it after event 2 gets
// rest.
func rawResuming(text, rest string) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		if r.Header.Get(platform.HeaderLastEvent) == "2" {
			raw(rest)(w, r, n)
			return
		}
		raw(text)(w, r, n)
	}
}

const (
	typeEvents = "\r\nContent-Type: text/event-stream\r\n"
	typeJSON   = "\r\nContent-Type: application/json\r\n"
)

var _ = Describe("an answer that ends with its connection", func() {
	// Guards against a truncated answer that looks complete, and a complete one that fails, where the
	// protocol version or the Connection header decides.
	DescribeTable("is judged by its content", func(head string) {
		whole := newFleet("models", raw(head+typeEvents+"\r\n"+firstEvents))
		r := send(whole.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents))
		Expect(send(whole.request("POST", "/once/", platform.HeaderModel, "m")).body).To(Equal(firstEvents))

		cut := newFleet("models", raw(head+typeEvents+"\r\n"+insideFields))
		r = send(cut.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.err).To(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents))

		resuming := rawResuming(head+typeEvents+"\r\n"+insideFields, head+typeEvents+"\r\n"+lastEvents)
		resumed := newFleet("models", resuming, resuming)
		r = send(resumed.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents + lastEvents))

		plain := newFleet("plain", raw(head+typeJSON+"\r\n"+`{"a":1}`))
		r = send(plain.request("POST", "/order/"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(`{"a":1}`))
	},
		Entry("of HTTP/1.1", "HTTP/1.1 200 OK"),
		Entry("of HTTP/1.1 with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close"),
		Entry("of HTTP/1.0", "HTTP/1.0 200 OK"),
		Entry("of HTTP/1.0 with Connection: keep-alive", "HTTP/1.0 200 OK\r\nConnection: keep-alive"),
	)

	// Guards against the rest of a stream that is cut inside an event and looks complete.
	It("does not look complete where the rest of a resumed stream is cut inside an event", func() {
		target := rawResuming("HTTP/1.0 200 OK"+typeEvents+"\r\n"+insideFields, "HTTP/1.0 200 OK"+typeEvents+"\r\nid: 3\ndata: x3\n\nid: 4\nda")
		f := newFleet("models", target, target)
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).To(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents + "id: 3\ndata: x3\n\n"))
	})

	// Guards against failing answers that have no body by definition.
	DescribeTable("is complete without a body", func(method, head string, status int) {
		f := newFleet("models", raw(head+"\r\n\r\n"))
		r := send(f.request(method, "/once/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(status))
		Expect(r.body).To(BeEmpty())
	},
		Entry("to HEAD", "HEAD", "HTTP/1.0 200 OK", 200),
		Entry("with 204", "POST", "HTTP/1.0 204 No Content", 204),
		Entry("with 304", "GET", "HTTP/1.1 304 Not Modified\r\nConnection: close", 304),
	)

	// Guards against failing a complete answer because its target accepts no connection in time.
	It("stays complete where the probe of its target's process is not answered", func() {
		l := listenShort()
		f := newFleet("plain")
		f.addTargetAt("i-1", "plain", l.Addr().String())
		ended := make(chan struct{})
		DeferCleanup(func() { close(ended) })
		go answerOnce(l, "HTTP/1.1 200 OK"+typeJSON+"\r\n"+`{"a":1}`, ended, func() {})
		r := send(f.request("POST", "/order/"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(200))
		Expect(r.body).To(Equal(`{"a":1}`))
	})
})

// addTargetAt adds a target that listens at an address.
func (f *fleet) addTargetAt(instance, service, address string) {
	f.addTarget(instance, service, nil)
	f.wire.mu.Lock()
	f.wire.standings[len(f.wire.standings)-1].Address = address
	f.wire.mu.Unlock()
	f.wire.awaitPolls()
}

// listenShort listens with the shortest queue of connections.
func listenShort() net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l
}

// answerOnce answers one request, after calling before, and then accepts no connection until ended is closed:
// its queue is full before the answer ends.
func answerOnce(l net.Listener, text string, ended <-chan struct{}, before func()) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	_, _ = http.ReadRequest(bufio.NewReader(c))
	before()
	queued := fill(l.Addr().String())
	_, _ = io.WriteString(c, text)
	_ = c.Close()
	<-ended
	for _, c := range queued {
		_ = c.Close()
	}
}

// fill opens connections to an address until none is accepted.
func fill(address string) (queued []net.Conn) {
	for {
		c, err := net.DialTimeout("tcp4", address, 100*time.Millisecond)
		if err != nil {
			return queued
		}
		queued = append(queued, c)
	}
}
