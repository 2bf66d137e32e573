package gateway_test

import (
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
)

// limitedAnswer answers 200 and announces a rate limit.
func limitedAnswer(perSecond string) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set(platform.HeaderRateLimit, perSecond)
	}
}

// limitedStream answers with a stream and announces a rate limit.
func limitedStream(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set(platform.HeaderRateLimit, "2")
	stream(w, 1, 1, false)
}

var _ = Describe("a target that announces a rate limit", func() {
	// Guards against sending to a target in need what looks right to each host by itself.
	It("gets no more calls than its owner has send times for", func() {
		f := newFleet("plain", limitedAnswer("2"))
		var asked atomic.Int32
		f.wire.reserve = func(*rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			return &rpc.ReserveResponse{Granted: asked.Add(1) == 1, WaitMs: 10}, nil
		}
		Expect(send(f.request("GET", "/lookup/")).status).To(Equal(200))
		var replies []<-chan reply
		for range 20 {
			replies = append(replies, sendLater(f.request("GET", "/lookup/")))
		}
		refused := 0
		for _, r := range replies {
			if got := <-r; got.status == http.StatusServiceUnavailable {
				Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
				refused++
			}
		}
		Expect(refused).To(Equal(19))
		Expect(f.arrivals()).To(Equal(2))
	})

	// Guards against waiting for a send time, or refusing, where another target takes the call.
	It("is avoided while a target without a limit holds the model", func() {
		f := newFleet("models", limitedStream, answer(200, ""))
		Eventually(func() int { send(f.request("POST", "/once/", platform.HeaderModel, "m")); return f.arrivalsAt("i-1") }).Should(Equal(1))
		for range 20 {
			Expect(send(f.request("POST", "/once/", platform.HeaderModel, "m")).status).To(Equal(200))
		}
		Expect(f.arrivalsAt("i-1")).To(Equal(1))
	})

	// Guards against a burst from hosts that have not received an answer of the target yet.
	It("is known from the table of targets and from its owner", func() {
		f := newFleet("plain", limitedAnswer("3"))
		asked := make(chan *rpc.ReserveRequest, 2)
		f.wire.reserve = func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			asked <- r
			return &rpc.ReserveResponse{WaitMs: 700, RateLimit: &rpc.RateObservation{Limited: true, PerSecond: 0.5}}, nil
		}
		f.wire.mu.Lock()
		f.wire.version++
		f.wire.standings[0].RateLimit = &rpc.RateObservation{Limited: true, PerSecond: 3, AgeMs: 60_000}
		f.wire.mu.Unlock()
		f.wire.awaitPolls()
		for _, known := range []float64{3, 0.5} {
			r := send(f.request("GET", "/lookup/"))
			Expect(r.status).To(Equal(503))
			Expect(r.header.Get("Retry-After")).To(Equal("0.700"))
			var sent *rpc.ReserveRequest
			Expect(asked).To(Receive(&sent))
			Expect(sent.RateLimit.PerSecond).To(Equal(known))
			Expect(sent.Warm).To(BeTrue())
		}
		Expect(f.arrivals()).To(Equal(0))
	})

	// Guards against a limit that is kept after the target no longer announces it.
	It("gets all calls again once it announces none", func() {
		f := newFleet("plain", func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				limitedAnswer("2")(w, r, n)
			}
		})
		f.wire.reserve = func(*rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			return &rpc.ReserveResponse{Granted: true}, nil
		}
		for range 2 {
			Expect(send(f.request("GET", "/lookup/")).status).To(Equal(200))
		}
		f.wire.mu.Lock()
		f.wire.reserve = nil
		f.wire.mu.Unlock()
		for range 10 {
			Expect(send(f.request("GET", "/lookup/")).status).To(Equal(200))
		}
	})
})
