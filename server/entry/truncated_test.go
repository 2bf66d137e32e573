package entry_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	firstEvents  = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	partialEvent = "data: {\"choices\":[{\"text\":"
)

// ending is how a target's answer ends.
type ending struct {
	chunked bool // else it has neither a length nor chunks
	abort   bool // chunks: the last one is missing; else: the connection is reset
	text    string
	crash   func() // ends the target's process before its answer ends; nil: it goes on
}

// answering is a target that gives this answer.
func answering(contentType string, e ending) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if e.chunked {
			w.Header().Set("Content-Type", contentType)
			_, _ = io.WriteString(w, e.text)
			w.(http.Flusher).Flush()
			if e.abort {
				panic(http.ErrAbortHandler)
			}
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		if e.crash != nil {
			e.crash()
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+e.text)
		if e.abort {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

var _ = Describe("a truncated answer", func() {
	stream := func(e ending) reply {
		f := newFleet(1)
		f.engineOf("engine-1", answering("text/event-stream", e))
		return f.send(ask{path: "/v1/completions", body: `{"model":"m1","stream":true}`})
	}

	// Guards against a truncated stream that reaches its caller as complete, and against an error
	// event that a caller reads as the rest of a partial event.
	DescribeTable("ends with an error event after its last complete event", func(e ending) {
		got := stream(e)
		Expect(got.broken).NotTo(HaveOccurred())
		Expect(got.body).To(HavePrefix(firstEvents + "event: error\ndata: {\"kind\":\"stream_broken\""))
		Expect(got.body).To(HaveSuffix("\n\n"))
	},
		Entry("without a length, inside a field", ending{text: firstEvents + partialEvent}),
		Entry("without a length, after a field", ending{text: firstEvents + "data: {}\n"}),
		Entry("in chunks, inside a field", ending{chunked: true, text: firstEvents + partialEvent}),
		Entry("in chunks without the last one, inside a field", ending{chunked: true, abort: true, text: firstEvents + partialEvent}),
		Entry("in chunks without the last one, between events", ending{chunked: true, abort: true, text: firstEvents}),
	)

	// Guards against an empty answer that reaches its caller as a complete stream.
	It("has an error event where nothing but the header came", func() {
		Expect(stream(ending{}).body).To(HavePrefix("event: error\n"))
	})

	// Guards against an event that is too long to be held and looks complete where it is cut.
	It("does not look complete where a long event was begun", func() {
		got := stream(ending{text: firstEvents + partialEvent + strings.Repeat("x", 1<<20)})
		Expect(got.broken).To(HaveOccurred())
		Expect(got.body).NotTo(ContainSubstring("event: error"))
	})

	// Guards against an answer that its target's process left unfinished: its kernel closes the
	// connection in order.
	DescribeTable("does not look complete where the target's process has ended", func(contentType, text string) {
		f := newFleet(1)
		var target *httptest.Server
		target = f.engineOf("engine-1", func(w http.ResponseWriter, r *http.Request) {
			answering(contentType, ending{text: text, crash: func() {
				_ = target.Listener.Close()
				target.CloseClientConnections()
			}})(w, r)
		})
		got := f.send(ask{path: "/v1/completions", body: `{"model":"m1","stream":true}`, header: map[string]string{"Cowslip-Class": "hasty"}})
		if got.status == http.StatusOK {
			Expect(got.body).To(HavePrefix(text + "event: error\n"))
		} else {
			Expect(got.refusal().Ran).To(Equal("unknown"))
		}
	},
		Entry("between two events", "text/event-stream", firstEvents),
		Entry("in a plain answer", "application/json", `{"a":1`),
	)

	It("is refused where it is not a stream", func() {
		f := newFleet(1)
		f.engineOf("engine-1", answering("application/json", ending{abort: true, text: `{"a":1`}))
		got := f.send(ask{path: "/v1/completions", body: `{"model":"m1"}`})
		Expect(got.status).To(Equal(http.StatusBadGateway))
	})
})

var _ = Describe("a complete answer", func() {
	// Guards against complete answers that are taken for truncated.
	DescribeTable("stays complete", func(contentType string, e ending) {
		f := newFleet(1)
		f.engineOf("engine-1", answering(contentType, e))
		got := f.send(ask{path: "/v1/completions", body: `{"model":"m1","stream":true}`})
		Expect(got.broken).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(e.text))
	},
		Entry("as a stream without a length", "text/event-stream", ending{text: firstEvents + "data: [DONE]\n\n"}),
		Entry("as a stream in chunks", "text/event-stream", ending{chunked: true, text: firstEvents + "data: [DONE]\n\n"}),
		Entry("as a stream with CR LF and a comment", "text/event-stream", ending{text: strings.ReplaceAll(firstEvents, "\n", "\r\n") + ": done\r\n"}),
		Entry("as a stream with a long event", "text/event-stream", ending{text: firstEvents + "data: " + strings.Repeat("x", 1<<20) + "\n\n" + firstEvents}),
		Entry("as a plain answer without a length", "application/json", ending{text: `{"a":1}`}),
	)
})
