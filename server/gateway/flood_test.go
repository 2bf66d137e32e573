package gateway_test

import (
	"io"
	"iter"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// flooding is a target that sends prefix and then filler until its peer closes the connection;
// without a filler it sends nothing more. closed counts its connections that were closed.
func flooding(prefix, filler string, closed *atomic.Int64) targetHandler {
	head, part := []byte(prefix), []byte(repeatTo(filler, 4<<10)) // shared by the connections
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer closed.Add(1)
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		_, err = conn.Write(head)
		if filler == "" {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		for err == nil {
			_, err = conn.Write(part)
		}
	}
}

// repeatTo repeats text until it has at least size bytes.
func repeatTo(text string, size int) string {
	out := make([]byte, 0, size+len(text))
	for text != "" && len(out) < size {
		out = append(out, text...)
	}
	return string(out)
}

// untilArrivalAt iterates until a target has got a request.
func (f *fleet) untilArrivalAt(instance string) iter.Seq[int] {
	return func(yield func(int) bool) {
		for n := 0; f.requestsAt(instance) == 0; n++ {
			Expect(n).To(BeNumerically("<", 100), "no request came to "+instance)
			if !yield(n) {
				return
			}
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// fullHead begins a target's refusal of request r-1.
const fullHead = "HTTP/1.1 503 Full\r\n" + platform.HeaderRequestID + ": r-1\r\n" + platform.HeaderNotRun + ": 1\r\n"

// longDeadline, in milliseconds, is far above what a bounded attempt takes.
const longDeadline = "2500"

var _ = Describe("a target's answer without end", func() {
	// Guards against a refusal whose body has no end and holds the call until its deadline.
	DescribeTable("does not hold up a call that was not run", func(head, filler string) {
		var closed atomic.Int64
		f := newFleet("plain", flooding(head, filler, &closed))
		f.addTarget("i-2", "plain", answer(200, "booked"))
		f.wire.awaitPolls()
		for range f.untilArrivalAt("i-1") {
			start := time.Now()
			Expect(send(f.request("POST", "/order/", platform.HeaderDeadline, longDeadline)).body).To(Equal("booked"))
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		}
		Eventually(closed.Load).Should(BeNumerically(">=", f.requestsAt("i-1")))
	},
		Entry("and goes on", fullHead+"\r\n", "x"),
		Entry("and says nothing more", fullHead+"Content-Length: 9\r\n\r\nx", ""),
	)

	// Guards against bytes that are no event and are passed on until the caller's deadline.
	DescribeTable("is left for another target after the last complete event", func(filler string) {
		var closed atomic.Int64
		begun := func(w http.ResponseWriter, r *http.Request, n int) {
			if r.Header.Get(platform.HeaderLastEvent) == "2" {
				sendAnswer(w, eventStream, ending{framing: "none", text: lastEvents})
				return
			}
			flooding(okHead+"\r\n"+firstEvents, filler, &closed)(w, r, n)
		}
		f := newFleet("models", begun, begun)
		start := time.Now()
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(withoutNoise(r.body)).To(Equal(firstEvents + lastEvents))
		Expect(f.requestsAt("i-1") + f.requestsAt("i-2")).To(Equal(2))
		Eventually(closed.Load).Should(BeNumerically(">=", 1))
	},
		Entry("in a field", "x"),
		Entry("in fields", "data: x\n"),
		Entry("in a comment", ":"),
		Entry("in comments", ": x\n\n"),
		Entry("in empty lines", "\n"),
	)

	// Guards against an answer that begins with bytes that are no event, and then can't be left for
	// another target.
	DescribeTable("has nothing passed on before its first event", func(filler string) {
		var closed atomic.Int64
		f := newFleet("models", flooding(okHead+"\r\n", filler, &closed))
		f.addTarget("i-2", "models", answering(eventStream, ending{framing: "none", text: firstEvents}))
		f.wire.awaitPolls()
		for range f.untilArrivalAt("i-1") {
			start := time.Now()
			r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			Expect(r.status).To(Equal(200))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(firstEvents))
		}
		Eventually(closed.Load).Should(BeNumerically(">=", f.requestsAt("i-1")))
	},
		Entry("in a field", "x"),
		Entry("in comments", ": x\n\n"),
		Entry("in empty lines", "\n"),
	)

	// Guards against comments that keep a call at a target which sends no more events.
	It("is left for another target where only comments come", func() {
		noisy := func(w http.ResponseWriter, r *http.Request, n int) {
			if r.URL.Path == platform.ReportPath {
				return
			}
			if r.Header.Get(platform.HeaderLastEvent) != "" {
				whole(w, r, n)
				return
			}
			stream(w, 1, 3, false)
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, ": x\n\n")
				w.(http.Flusher).Flush()
				select {
				case <-time.After(50 * time.Millisecond):
				case <-r.Context().Done():
				}
			}
		}
		f := newFleet("models", granting(noisy), granting(noisy))
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(withoutNoise(r.body)).To(Equal(wholeStream))
		Expect(r.body).To(ContainSubstring(": x\n"), "comments reach the caller while there are no events")
	})

	// Guards against a head without end that is waited for until the deadline.
	DescribeTable("is left for another target in its head", func(prefix, filler string) {
		var closed atomic.Int64
		f := newFleet("plain", flooding(prefix, filler, &closed))
		f.addTarget("i-2", "plain", answer(200, "found"))
		f.wire.awaitPolls()
		for range f.untilArrivalAt("i-1") {
			Expect(send(f.request("GET", "/lookup/")).body).To(Equal("found"))
		}
		Eventually(closed.Load).Should(BeNumerically(">=", f.requestsAt("i-1")))
	},
		Entry("in the status line", "", "x"),
		Entry("in headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		Entry("in 1xx answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n", "A: b\r\n"),
		Entry("in a chunk's extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n1;", "x"),
	)

	// Guards against a second answer on the connection of a complete one.
	It("does not reach another caller where it follows a complete one", func() {
		var closed atomic.Int64
		f := newFleet("plain", flooding("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", &closed))
		for range 4 {
			r := send(f.request("POST", "/order/"))
			Expect(r.body).NotTo(ContainSubstring("other"))
			Expect(r.status).To(BeElementOf(200, 502))
		}
	})

	// Guards against a second answer that comes after its connection was found to be idle, and does not name its request.
	It("does not reach another caller where it comes with that caller's request", func() {
		f := newFleet("plain")
		f.addRawTargets([]string{"i-1"}, "plain", func(_, request int) string {
			if request == 1 {
				return "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 5\r\n\r\nfirst"
			}
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
		})
		Expect(send(f.request("POST", "/order/")).summary()).To(Equal("200 first"))
		Expect(send(f.request("POST", "/order/", platform.HeaderRequestID, "r-2")).status).To(Equal(http.StatusBadGateway))
	})

	// Guards against a body without end that looks complete, or outlasts the call's deadline.
	It("ends at the deadline and does not look complete where its body is not one of events", func() {
		var closed atomic.Int64
		f := newFleet("plain", flooding("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "x", &closed))
		start := time.Now()
		resp, err := http.DefaultClient.Do(f.request("POST", "/order/", platform.HeaderDeadline, "400"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		Eventually(closed.Load).Should(BeNumerically(">=", 1))
		Eventually(f.lines.String).Should(MatchRegexp(`request_ended.*"kind":"timeout"`))
	})
})

// withoutNoise removes comments and empty lines beside those that end events.
func withoutNoise(body string) string {
	var out strings.Builder
	for block := range strings.SplitSeq(body, "\n\n") {
		if block = strings.Trim(block, "\n"); strings.HasPrefix(block, "id") {
			out.WriteString(block + "\n\n")
		}
	}
	return out.String()
}
