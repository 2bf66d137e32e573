package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

const badBody = "bad"

// mortalHandler is the handler of a target whose process can end: crash closes its listener and all
// of its connections.
type mortalHandler func(w http.ResponseWriter, r *http.Request, body string, crash func())

// addMortalTarget adds a target whose process can end.
func (f *fleet) addMortalTarget(instance, service string, handle mortalHandler) {
	f.addTarget(instance, service, nil)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.ran[instance] = append(f.ran[instance], r)
		f.mu.Unlock()
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderStamp, "stamp-of-"+instance)
		handle(w, r, string(body), func() {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		})
	}))
	DeferCleanup(server.Close)
	f.wire.mu.Lock()
	defer f.wire.mu.Unlock()
	f.wire.standings[len(f.wire.standings)-1].Address = server.Listener.Addr().String()
}

// crashOnBadBody ends the target when it runs the bad request.
func crashOnBadBody(ended *atomic.Int32) mortalHandler {
	return func(w http.ResponseWriter, _ *http.Request, body string, crash func()) {
		if body == badBody {
			ended.Add(1)
			crash()
			return
		}
		_, _ = io.WriteString(w, "fine")
	}
}

// crashMidStream ends the target after some events of a stream.
func crashMidStream(events int) mortalHandler {
	return func(w http.ResponseWriter, r *http.Request, _ string, crash func()) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get(platform.HeaderLastEvent), &last)
		stream(w, last+1, last+events, false)
		crash()
	}
}

// setStrikes sets what control has committed against a request.
func (s *source) setStrikes(row *coordpb.Strikes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current
	next.Strikes = map[string]*coordpb.Strikes{view.StrikeID(row.Workspace, row.Fingerprint): row}
	s.current = &next
}

// completed is how many requests were reported to have run to their end.
func (w *wire) completed() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.crashes {
		n += len(m.Completed)
	}
	return n
}

// suspects is how many requests were reported to have been running when a target crashed.
func (w *wire) suspects() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.crashes {
		for _, c := range m.Crashes {
			n += len(c.Suspects)
		}
	}
	return n
}

// setDraining makes the board say that a target is leaving.
func (w *wire) setDraining(target int) { w.drain(target, true) }

// drain sets whether the table shows a target as draining.
func (w *wire) drain(target int, draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	s := proto.Clone(w.standings[target]).(*rpc.Standing)
	s.Draining = draining
	w.standings = slices.Clone(w.standings) // the last reply has the former slice
	w.standings[target] = s
}

// withBody sets a request's body and id.
func withBody(r *http.Request, id, body string) *http.Request {
	r.Header.Set(platform.HeaderRequestID, id)
	r.Body = io.NopCloser(strings.NewReader(body))
	r.ContentLength = int64(len(body))
	return r
}

var _ = Describe("a request that ends each target that runs it", func() {
	// Guards against sending it to target after target while its caller retries it.
	It("ends three targets at most before it is refused", func() {
		var ended atomic.Int32
		f := newFleet("plain")
		for i := range 10 {
			f.addMortalTarget(fmt.Sprintf("i-%d", i+1), "plain", crashOnBadBody(&ended))
		}
		f.wire.awaitPolls()
		var last reply
		for retry := range 10 {
			last = send(withBody(f.request("POST", "/order/"), fmt.Sprintf("bad-%d", retry), badBody))
		}
		Expect(ended.Load()).To(BeNumerically("<=", 3))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.header.Get("Retry-After")).NotTo(BeEmpty())
		Eventually(func() string {
			return send(withBody(f.request("POST", "/order/"), "good", "good")).body
		}).Should(Equal("fine"))
	})
})

var _ = Describe("a request whose target has ended", func() {
	// Guards against a host that sends on what targets of other hosts have ended under.
	It("is refused by hosts that did not send it, as soon as control has committed the strikes", func() {
		f := newFleet("plain", answer(200, "fine"))
		bad := request.FingerprintOf("w", host, "/order/", []byte(badBody))
		row := &coordpb.Strikes{Workspace: "w", Fingerprint: bad[:], ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli()}
		for i := range request.MaxSharedStrikes {
			row.Shared = append(row.Shared, &coordpb.SharedStrike{Crash: fmt.Sprint(i), AtUnixMs: time.Now().UnixMilli()})
		}
		f.source.setStrikes(row)
		got := send(withBody(f.request("POST", "/order/"), "bad-1", badBody))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.body).To(ContainSubstring(`"kind":"quarantined"`))
		Expect(send(withBody(f.request("POST", "/order/"), "good-1", "good")).body).To(Equal("fine"))
		Expect(f.arrivals()).To(Equal(1))
	})

	// Guards against giving all requests that wait for one target their last strike at once.
	It("is paced at its target before its last strike", func() {
		f := newFleet("plain", answer(200, "fine"))
		asked := make(chan *rpc.ReserveRequest, 2)
		f.wire.reserve = func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			asked <- r
			return &rpc.ReserveResponse{WaitMs: 800}, nil
		}
		one := request.FingerprintOf("w", host, "/order/", []byte("good"))
		f.source.setStrikes(&coordpb.Strikes{
			Workspace: "w", Fingerprint: one[:], ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
			Shared: []*coordpb.SharedStrike{{Crash: "1"}, {Crash: "2"}},
		})
		got := send(withBody(f.request("POST", "/order/"), "good-1", "good"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).To(Equal("0.800"))
		var sent *rpc.ReserveRequest
		Expect(asked).To(Receive(&sent))
		Expect(sent.Suspect).To(BeTrue())
		Expect(f.arrivals()).To(BeZero())
	})

	// Guards against holding strikes against a request that a target has run to its end.
	It("is cleared at control when a target runs it to its end", func() {
		f := newFleet("plain", answer(200, "fine"))
		good := request.FingerprintOf("w", host, "/order/", []byte("good"))
		f.source.setStrikes(&coordpb.Strikes{
			Workspace: "w", Fingerprint: good[:], ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
			Shared: []*coordpb.SharedStrike{{Crash: "1"}},
		})
		Expect(send(withBody(f.request("POST", "/order/"), "good-1", "good")).body).To(Equal("fine"))
		Eventually(f.wire.completed).Should(Equal(1))
	})

	// Guards against strikes for popular content, which is in each crash of a bad request.
	It("gets no strike if a target has run the like to its end lately", func() {
		f := newFleet("plain")
		var ended atomic.Int32
		f.addMortalTarget("i-1", "plain", func(w http.ResponseWriter, r *http.Request, body string, crash func()) {
			if f.arrivals() > 1 {
				body = badBody
			}
			crashOnBadBody(&ended)(w, r, body, crash)
		})
		f.wire.awaitPolls()
		Expect(send(withBody(f.request("POST", "/order/"), "r-1", "popular")).body).To(Equal("fine"))
		Expect(send(withBody(f.request("POST", "/order/"), "r-2", "popular")).status).To(Equal(http.StatusBadGateway))
		Expect(ended.Load()).To(Equal(int32(1)))
		Expect(f.wire.suspects()).To(BeZero())
	})

	// Guards against strikes of other hosts that are committed after a target has run the request.
	It("is not refused by a host that has seen the like run to its end, and is cleared", func() {
		f := newFleet("plain", answer(200, "fine"))
		send(withBody(f.request("POST", "/order/"), "r-1", "popular"))
		popular := request.FingerprintOf("w", host, "/order/", []byte("popular"))
		row := &coordpb.Strikes{Workspace: "w", Fingerprint: popular[:], ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli()}
		for i := range request.MaxSharedStrikes {
			row.Shared = append(row.Shared, &coordpb.SharedStrike{Crash: fmt.Sprint(i), AtUnixMs: time.Now().UnixMilli()})
		}
		f.source.setStrikes(row)
		Expect(send(withBody(f.request("POST", "/order/"), "r-2", "popular")).body).To(Equal("fine"))
		Eventually(f.wire.completed).Should(BeNumerically(">=", 1))
	})

	// Guards against clearing a bad request because a failing target did not run it.
	It("is not cleared by a target's failure", func() {
		f := newFleet("plain", answer(500, ""))
		bad := request.FingerprintOf("w", host, "/order/", []byte(badBody))
		f.source.setStrikes(&coordpb.Strikes{
			Workspace: "w", Fingerprint: bad[:], ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
			Shared: []*coordpb.SharedStrike{{Crash: "1"}},
		})
		Expect(send(withBody(f.request("POST", "/order/"), "bad-1", badBody)).status).To(Equal(500))
		Consistently(f.wire.completed, 100*time.Millisecond).Should(BeZero())
	})

	// Guards against refusing a stream whose targets end by themselves one after the other.
	It("is served while each of its runs gets further", func() {
		f := newFleet("models")
		for i := range 6 {
			f.addMortalTarget(fmt.Sprintf("i-%d", i+1), "models", crashMidStream(2))
		}
		f.wire.awaitPolls()
		for retry := range 3 { // each runs at two targets, the most that the route allows
			r := withBody(f.request("POST", "/stream/", platform.HeaderModel, "m"), fmt.Sprint("r-", retry), "long")
			if retry > 0 {
				r.Header.Set(platform.HeaderLastEvent, fmt.Sprint(4*retry))
				r.Header.Set(platform.HeaderResumes, "r-0")
			}
			got := send(r)
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(got.body).To(ContainSubstring("id: %d\n", 4*retry+4))
		}
	})

	// Guards against a strike for the end of a target that had announced it.
	It("gets no strike if the target was leaving", func() {
		f := newFleet("plain")
		f.addMortalTarget("i-1", "plain", func(_ http.ResponseWriter, _ *http.Request, _ string, crash func()) {
			f.wire.setDraining(0)
			f.wire.awaitPolls()
			crash()
		})
		f.wire.awaitPolls()
		Expect(send(withBody(f.request("POST", "/order/"), "r-1", badBody)).status).To(Equal(http.StatusBadGateway))
		Expect(f.wire.suspects()).To(BeZero())
	})
})
