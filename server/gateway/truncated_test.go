package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
)

// ending is how a target's answer ends.
type ending struct {
	framing string // length, chunked or none
	reset   bool   // the connection is reset; else it is closed in order
	short   bool   // the end that the framing announces is missing
	more    int    // how many bytes the announced length exceeds the text by
	text    string // what is sent
	crash   func() // ends the target's process before its answer ends; nil: it goes on
}

// expectBroken expects an answer that its caller sees as failed, whether or not its header was sent.
func expectBroken(r reply) {
	GinkgoHelper()
	if r.status == http.StatusOK {
		Expect(r.err).To(HaveOccurred())
		return
	}
	Expect(r.status).To(Equal(http.StatusBadGateway))
}

// sendAnswer writes an answer with the handler's headers and ends the connection.
func sendAnswer(w http.ResponseWriter, contentType string, e ending) {
	header := w.Header().Clone()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\n")
	body := e.text
	switch e.framing {
	case "length":
		header.Set("Content-Length", strconv.Itoa(len(e.text)+e.more))
	case "chunked":
		header.Set("Transfer-Encoding", "chunked")
		body = ""
		if e.text != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(e.text), e.text)
		}
		if !e.short {
			body += "0\r\n\r\n"
		}
	}
	if e.crash != nil {
		e.crash()
	}
	_ = header.Write(&out)
	out.WriteString("\r\n" + body)
	_, _ = io.WriteString(conn, out.String())
	if e.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

const (
	eventStream  = "text/event-stream"
	firstEvents  = "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
	lastEvents   = "id: 3\ndata: x3\n\nid: 4\ndata: x4\n\n"
	insideFields = firstEvents + "id: 3\nda"
	afterField   = firstEvents + "id: 3\n"
)

// truncating is a target that truncates the first stream that it gets, and resumes one that
// begins after event 2.
func truncating(e ending) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get(platform.HeaderLastEvent) == "2" {
			sendAnswer(w, eventStream, ending{framing: "none", text: lastEvents})
			return
		}
		sendAnswer(w, eventStream, e)
	}
}

// answering gives the same answer to every request.
func answering(contentType string, e ending) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { sendAnswer(w, contentType, e) }
}

var _ = Describe("a truncated answer", func() {
	// Guards against a truncated stream that reaches its caller as complete.
	DescribeTable("does not look complete where it may not be resumed", func(e ending) {
		f := newFleet("models", answering(eventStream, e))
		r := send(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.err).To(HaveOccurred())
		Expect(firstEvents).To(HavePrefix(r.body), "only complete events are forwarded")
		Expect(f.arrivals()).To(Equal(1))
	},
		Entry("without a length, inside a field", ending{framing: "none", text: insideFields}),
		Entry("without a length, after a field", ending{framing: "none", text: afterField}),
		Entry("without a length, inside a field with CR LF", ending{framing: "none", text: firstEvents + "id: 3\r\nda"}),
		Entry("with a length, inside a field", ending{framing: "length", text: insideFields}),
		Entry("in chunks, inside a field", ending{framing: "chunked", text: insideFields}),
		Entry("in chunks without the last one, inside a field", ending{framing: "chunked", short: true, text: insideFields}),
		Entry("in chunks without the last one, between events", ending{framing: "chunked", short: true, text: firstEvents}),
		Entry("with a length that is not reached, between events", ending{framing: "length", more: 9, text: firstEvents}),
	)

	// Guards against a partial event, a gap or a duplicate where a truncated stream is resumed.
	DescribeTable("is resumed at another target after the last complete event", func(e ending) {
		f := newFleet("models", truncating(e), truncating(e))
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents + lastEvents))
		Expect(f.arrivals()).To(Equal(2))
	},
		Entry("without a length, inside a field", ending{framing: "none", text: insideFields}),
		Entry("without a length, inside an id", ending{framing: "none", text: firstEvents + "id: 3"}),
		Entry("without a length, after a field", ending{framing: "none", text: afterField}),
		Entry("with a length, inside a field", ending{framing: "length", text: insideFields}),
		Entry("in chunks without the last one, inside a field", ending{framing: "chunked", short: true, text: insideFields}),
	)

	// Guards against a truncated stream that looks complete because its target gives it no type, in
	// whose place its server may fill in one.
	DescribeTable("does not look complete where it has no type of its own", func(contentType string) {
		f := newFleet("models", answering(contentType, ending{framing: "none", text: insideFields}))
		r := send(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.err).To(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents))
	},
		Entry("but that of plain text", "text/plain; charset=utf-8"),
		Entry("and none is filled in", ""),
	)

	// Guards against a resumed stream with the length of its first target's answer, which breaks
	// off where its own length differs.
	DescribeTable("has not the announced length once it is resumed", func(more int) {
		e := ending{framing: "length", more: more, text: firstEvents}
		f := newFleet("models", truncating(e), truncating(e))
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents + lastEvents))
	},
		Entry("where the length ends after the next event", len(lastEvents)/2),
		Entry("where the length is that of all events", len(lastEvents)),
		Entry("where the length is more", 2*len(lastEvents)),
	)

	// Guards against a resumed stream that is longer than its first target announced, and looks
	// complete where that length is reached.
	It("goes on after the length that its first target announced", func() {
		const third = "id: 3\ndata: x3\n\n"
		received := make(chan struct{})
		target := func(w http.ResponseWriter, r *http.Request, _ int) {
			if r.Header.Get(platform.HeaderLastEvent) != "2" {
				sendAnswer(w, eventStream, ending{framing: "length", more: len(third), text: firstEvents})
				return
			}
			stream(w, 3, 3, false)
			<-received
			stream(w, 4, 4, false)
		}
		f := newFleet("models", target, target)
		resp, err := sendWithin(context.Background(), f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.ReadFull(resp.Body, make([]byte, len(firstEvents+third)))
		Expect(err).NotTo(HaveOccurred())
		close(received)
		rest, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("id: 4\ndata: x4\n\n"))
	})

	// Guards against a resumed stream that is truncated again and reaches its caller as complete.
	It("does not look complete where the last target that may resume it truncates it too", func() {
		f := newFleet("models", answering(eventStream, ending{framing: "none", text: insideFields}),
			answering(eventStream, ending{framing: "none", text: insideFields}))
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).To(HaveOccurred())
		Expect(f.arrivals()).To(Equal(2))
	})

	// Guards against an id that is taken for longer than it is where lines end with CR alone.
	It("is resumed after the last complete event whose lines end with CR", func() {
		e := ending{framing: "none", text: strings.ReplaceAll(insideFields, "\n", "\r")}
		f := newFleet("models", truncating(e), truncating(e))
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(strings.ReplaceAll(r.body, "\r", "\n")).To(Equal(firstEvents + lastEvents))
	})

	// Guards against a stream whose rest is another body, which looks complete.
	It("does not look complete where the target that resumes it sends no events", func() {
		target := func(w http.ResponseWriter, r *http.Request, _ int) {
			if r.Header.Get(platform.HeaderLastEvent) == "2" {
				sendAnswer(w, "application/json", ending{framing: "length", text: `{"a":1}`})
				return
			}
			sendAnswer(w, eventStream, ending{framing: "none", text: insideFields})
		}
		f := newFleet("models", target, target)
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).To(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents))
	})

	// Guards against an empty answer that reaches its caller as a complete stream.
	It("is an error where nothing but the header came", func() {
		f := newFleet("models", answering(eventStream, ending{framing: "none"}))
		r := send(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.status).To(Equal(502))
	})

	It("is repeated at another target where nothing but the header came and it may be", func() {
		f := newFleet("models", answering(eventStream, ending{framing: "none"}))
		f.wire.ensure = func(context.Context, *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			return &rpc.EnsureResponse{Reason: "no room"}, nil
		}
		f.addTarget("i-2", "models", answering(eventStream, ending{framing: "none", text: firstEvents}))
		Eventually(func() string {
			return send(f.request("POST", "/stream/", platform.HeaderModel, "m")).body
		}).Should(Equal(firstEvents))
	})

	// Guards against a truncated plain answer that reaches its caller as complete.
	DescribeTable("is an error where it is not a stream", func(e ending) {
		f := newFleet("plain", answering("application/json", e))
		r := send(f.request("POST", "/order/"))
		Expect(r.status).To(Equal(502))
	},
		Entry("without a length, by a reset", ending{framing: "none", reset: true, text: `{"a":1`}),
		Entry("with a length that is not reached", ending{framing: "length", more: 1, text: `{"a":1`}),
		Entry("in chunks without the last one", ending{framing: "chunked", short: true, text: `{"a":1`}),
	)

	// Guards against a request that ends target after target, and whose truncated answers count as
	// complete runs, which dismiss strikes.
	It("by the end of its target's process counts against its request", func() {
		var ended atomic.Int32
		f := newFleet("models")
		for i := range 10 {
			f.addMortalTarget(fmt.Sprintf("i-%d", i+1), "models", func(w http.ResponseWriter, _ *http.Request, _ string, crash func()) {
				ended.Add(1)
				sendAnswer(w, eventStream, ending{framing: "none", text: insideFields, crash: crash})
			})
		}
		f.wire.awaitPolls()
		var last reply
		for retry := range 10 {
			last = send(withBody(f.request("POST", "/once/", platform.HeaderModel, "m"), fmt.Sprintf("bad-%d", retry), badBody))
		}
		Expect(ended.Load()).To(BeNumerically("<=", 3))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against an answer that its target's process left unfinished: its kernel closes the
	// connection in order, between two events or anywhere in a plain answer.
	DescribeTable("does not look complete where the target's process has ended", func(service, path, contentType, text string) {
		f := newFleet(service)
		f.addMortalTarget("i-1", service, func(w http.ResponseWriter, _ *http.Request, _ string, crash func()) {
			sendAnswer(w, contentType, ending{framing: "none", text: text, crash: crash})
		})
		f.wire.awaitPolls()
		r := send(f.request("POST", path, platform.HeaderModel, "m"))
		expectBroken(r)
	},
		Entry("between two events", "models", "/once/", eventStream, firstEvents),
		Entry("in a short plain answer", "plain", "/order/", "application/json", `{"a":1`),
		Entry("in a long plain answer", "plain", "/order/", "application/json", strings.Repeat("x", 100<<10)),
	)

	It("is resumed where the target's process has ended between two events", func() {
		f := newFleet("models")
		for i := range 2 {
			f.addMortalTarget(fmt.Sprintf("i-%d", i+1), "models", func(w http.ResponseWriter, r *http.Request, _ string, crash func()) {
				if r.Header.Get(platform.HeaderLastEvent) == "2" {
					sendAnswer(w, eventStream, ending{framing: "none", text: lastEvents})
					return
				}
				sendAnswer(w, eventStream, ending{framing: "none", text: firstEvents, crash: crash})
			})
		}
		f.wire.awaitPolls()
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents + lastEvents))
	})

	// Guards against a target that is counted as serving.
	It("is counted and logged as a failed attempt", func() {
		f := newFleet("models", answering(eventStream, ending{framing: "none", text: insideFields}))
		send(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Eventually(f.lines.String).Should(MatchRegexp(`attempt_failed.*"answer_end":"inside_event".*"framing":"until_close"`))
		Eventually(f.lines.String).Should(MatchRegexp(`request_ended.*"kind":"stream_broken"`))
	})
})

var _ = Describe("a complete answer", func() {
	// Guards against complete streams that are taken for truncated.
	DescribeTable("stays complete", func(e ending) {
		f := newFleet("models", answering(eventStream, e))
		r := send(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(200))
		Expect(r.body).To(Equal(e.text))
		Expect(r.header.Get(platform.HeaderStamp)).To(Equal("stamp-of-i-1"))
		Expect(f.arrivals()).To(Equal(1))
	},
		Entry("without a length", ending{framing: "none", text: firstEvents}),
		Entry("with a length", ending{framing: "length", text: firstEvents}),
		Entry("in chunks", ending{framing: "chunked", text: firstEvents}),
		Entry("without a length, with CR LF", ending{framing: "none", text: strings.ReplaceAll(firstEvents, "\n", "\r\n")}),
		Entry("without a length, with CR", ending{framing: "none", text: strings.ReplaceAll(firstEvents, "\n", "\r")}),
		Entry("without a length, with comments", ending{framing: "none", text: ": hello\n\n" + firstEvents + ": done\n"}),
		Entry("without a length, with an event of another first field", ending{framing: "none", text: firstEvents + "weight-versions: 2\nid: 3\ndata: x\n\n"}),
		Entry("without an event but with a length", ending{framing: "length"}),
		Entry("without an event but in chunks", ending{framing: "chunked"}),
	)

	// Guards against answers of a streaming route that are not events, which have no events to end.
	DescribeTable("may be no stream of events on a streaming route", func(framing string) {
		f := newFleet("models", answering("application/json", ending{framing: framing, text: `{"a":1}`}))
		r := send(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(`{"a":1}`))
	},
		Entry("without a length", "none"),
		Entry("with a length", "length"),
		Entry("in chunks", "chunked"),
	)

	// Guards against failing the answers to requests that have no body by definition.
	It("to a HEAD request has no events to end", func() {
		f := newFleet("models", answering(eventStream, ending{framing: "none"}))
		Expect(send(f.request("HEAD", "/once/", platform.HeaderModel, "m")).status).To(Equal(200))
	})

	// Guards against events that are held back because their target gives them no type.
	It("is forwarded event by event whatever its type", func() {
		const first = "id: 1\ndata: x1\n\n"
		received := make(chan struct{})
		f := newFleet("models", func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(w, first)
			w.(http.Flusher).Flush()
			<-received
		})
		resp, err := sendWithin(context.Background(), f.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		got := make([]byte, len(first))
		_, err = io.ReadFull(resp.Body, got)
		close(received)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(first))
	})

	It("may end with its connection where it is not a stream", func() {
		f := newFleet("plain", answering("application/json", ending{framing: "none", text: `{"a":1}`}))
		r := send(f.request("POST", "/order/"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(200))
		Expect(r.body).To(Equal(`{"a":1}`))
	})
})
