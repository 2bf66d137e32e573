package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// announcement makes a target announce that it leaves.
type announcement func(f *fleet, w http.ResponseWriter)

func byTable(f *fleet, _ http.ResponseWriter) {
	f.wire.setDraining(0)
	f.wire.awaitPolls()
}

func byAnswer(_ *fleet, w http.ResponseWriter) { w.Header().Set(platform.HeaderLeaving, "1") }

// fromSecond is the answer of the second target of newFleetWithSecond.
const fromSecond = "id: 9\ndata: from another run\n\n"

// newFleetWithSecond has a target that answers by handle, and a second one that accepts requests once the first
// has got one.
func newFleetWithSecond(service string, handle func(f *fleet, w http.ResponseWriter, crash func())) *fleet {
	f := newFleet(service)
	f.addMortalTarget("i-1", service, func(w http.ResponseWriter, _ *http.Request, _ string, crash func()) {
		f.wire.drain(1, false)
		f.wire.awaitPolls()
		handle(f, w, crash)
	})
	f.addMortalTarget("i-2", service, func(w http.ResponseWriter, _ *http.Request, _ string, _ func()) {
		_, _ = io.WriteString(w, fromSecond)
	})
	f.wire.drain(1, true)
	f.wire.awaitPolls()
	return f
}

var _ = Describe("an answer of a target that leaves, which ends with its connection", func() {
	// Guards against an answer that was cut when its target was removed, and looks complete, runs again where
	// that is not allowed, or counts against its request.
	DescribeTable("does not look complete where the target has ended", func(announce announcement, service, path, contentType, text string) {
		f := newFleetWithSecond(service, func(f *fleet, w http.ResponseWriter, crash func()) {
			announce(f, w)
			sendAnswer(w, contentType, ending{framing: "none", text: text, crash: crash})
		})
		r := send(f.request("POST", path, platform.HeaderModel, "m"))
		expectBroken(r)
		Expect([]int{f.requestsAt("i-1"), f.requestsAt("i-2")}).To(Equal([]int{1, 0}))
		f.wire.mu.Lock()
		defer f.wire.mu.Unlock()
		Expect(f.wire.crashes).To(BeEmpty())
	},
		Entry("between two events, as the table says", announcement(byTable), "models", "/once/", eventStream, firstEvents),
		Entry("between two events, as its answer says", announcement(byAnswer), "models", "/once/", eventStream, firstEvents),
		Entry("in a short plain answer", announcement(byTable), "plain", "/order/", "application/json", `{"a":1`),
		Entry("in a long plain answer", announcement(byTable), "plain", "/order/", "application/json", strings.Repeat("x", 100<<10)),
	)

	// Guards against failing a call that may be repeated.
	It("is replaced by another target's where the call may be repeated", func() {
		f := newFleetWithSecond("plain", func(f *fleet, w http.ResponseWriter, crash func()) {
			byTable(f, w)
			sendAnswer(w, "application/json", ending{framing: "none", text: `{"a":1`, crash: crash})
		})
		r := send(f.request("GET", "/lookup/"))
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body).To(Equal(fromSecond))
		Expect([]int{f.requestsAt("i-1"), f.requestsAt("i-2")}).To(Equal([]int{1, 1}))
	})

	// Guards against a stream that stays unfinished, or gets events twice, where its target ended after the
	// last event or before it.
	DescribeTable("continues at another target where it may be resumed", func(sent, rest string) {
		f := newFleet("models")
		for i := range 2 {
			f.addMortalTarget(fmt.Sprintf("i-%d", i+1), "models", func(w http.ResponseWriter, r *http.Request, _ string, crash func()) {
				if r.Header.Get(platform.HeaderLastEvent) != "" {
					sendAnswer(w, eventStream, ending{framing: "chunked", text: rest})
					return
				}
				byAnswer(f, w)
				sendAnswer(w, eventStream, ending{framing: "none", text: sent, crash: crash})
			})
		}
		f.wire.awaitPolls()
		r := send(f.request("POST", "/stream/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents + lastEvents))
	},
		Entry("before its last event", firstEvents, lastEvents),
		Entry("after its last event", firstEvents+lastEvents, ""),
	)

	// Guards against failing the last answers of a target that ends once it has given them.
	DescribeTable("stays complete where the target runs on for a moment", func(announce announcement) {
		f := newFleet("models")
		var answered atomic.Bool
		f.addMortalTarget("i-1", "models", func(w http.ResponseWriter, r *http.Request, _ string, crash func()) {
			if r.URL.Path == platform.ReportPath {
				sendAnswer(w, "application/json", ending{framing: "length", text: "{}"})
				if answered.Load() {
					crash()
				}
				return
			}
			announce(f, w)
			answered.Store(true)
			sendAnswer(w, eventStream, ending{framing: "none", text: firstEvents})
		})
		f.wire.awaitPolls()
		r := send(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(firstEvents))
	},
		Entry("as the table says", announcement(byTable)),
		Entry("as its answer says", announcement(byAnswer)),
	)

	// Guards against an answer that looks complete though its target was cut off with its whole domain.
	It("does not look complete where the target's host no longer responds", func() {
		l := listenShort()
		f := newFleet("plain")
		f.addTargetAt("i-1", "plain", l.Addr().String())
		ended := make(chan struct{})
		DeferCleanup(func() { close(ended) })
		go answerOnce(l, "HTTP/1.1 200 OK"+typeJSON+"\r\n"+`{"a":1`, ended, func() { byTable(f, nil) })
		Expect(send(f.request("POST", "/order/")).status).To(Equal(http.StatusBadGateway))
	})
})
