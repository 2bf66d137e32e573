package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/platform"
	"cowsliptiller/server/board"
	"cowsliptiller/server/rpc"
)

var _ = Describe("a target that warms up", func() {
	warmingUp := func(f *fleet, agent string) {
		f.wire.mu.Lock()
		defer f.wire.mu.Unlock()
		f.wire.version++
		f.wire.standings[0].WarmUpMs, f.wire.standings[0].Agent = 60_000, agent
	}
	// arrivalsOf sends calls at once and returns when the target got them.
	arrivalsOf := func(f *fleet, calls int) (served int, at []time.Time) {
		var mu sync.Mutex
		f.addTarget("i-2", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
			mu.Lock()
			defer mu.Unlock()
			at = append(at, time.Now())
		})
		f.wire.mu.Lock()
		f.wire.standings = f.wire.standings[1:]
		f.wire.mu.Unlock()
		warmingUp(f, "agent")
		Eventually(func() bool { return f.gateway.Ready() == nil }).Should(BeTrue())
		Eventually(func() int { return send(f.request("GET", "/lookup/")).status }).Should(Equal(http.StatusOK))
		var replies []<-chan reply
		for range calls {
			replies = append(replies, sendLater(f.request("GET", "/lookup/")))
		}
		for _, r := range replies {
			if got := <-r; got.status == http.StatusOK {
				served++
			} else {
				Expect(got.status).To(Equal(http.StatusServiceUnavailable))
				Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		}
		return served, at
	}

	// Guards against crashing a target by sending it all calls that wait for it at once.
	It("gets calls at the times that its owner hands out", func() {
		f := newFleet("plain", answer(200, "x"))
		owner, now := ratelimit.NewOwner(time.Now().Add(-time.Minute)), sync.Mutex{}
		f.wire.reserve = func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			now.Lock()
			defer now.Unlock()
			Expect(r.MaxWaitMs).To(BeNumerically("<=", 1000))
			return board.ReserveFrom(owner, r, warmup.Limit{Duration: 3 * time.Second, PerSecond: 19}, warmup.MaxAhead, time.Now()), nil
		}
		served, at := arrivalsOf(f, 40)
		Expect(served).To(BeNumerically(">", 0))
		for i := range at {
			n := 0
			for _, other := range at[i:] {
				if other.Sub(at[i]) < time.Second {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 26))
		}
	})

	// Guards against sending to a target whose owner does not answer.
	It("gets no call without a send time", func() {
		f := newFleet("plain", answer(200, "x"))
		f.wire.reserve = func(*rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			return &rpc.ReserveResponse{WaitMs: 400}, nil
		}
		warmingUp(f, "agent")
		Eventually(func() int { return send(f.request("GET", "/lookup/")).status }).Should(Equal(503))
		before := f.arrivals()
		r := send(f.request("GET", "/lookup/"))
		Expect(r.status).To(Equal(503))
		Expect(r.header.Get("Retry-After")).To(Equal("0.400"))
		f.wire.mu.Lock()
		f.wire.reserve = nil
		f.wire.mu.Unlock()
		Expect(send(f.request("GET", "/lookup/")).status).To(Equal(503))
		Expect(f.arrivals()).To(Equal(before))
	})

	// Guards against a burst to a target that the table does not show as warming up yet, after
	// the callers have waited for its model.
	It("is known as soon as its agent has loaded a model", func() {
		f := newFleet("models", func(w http.ResponseWriter, _ *http.Request, _ int) { stream(w, 1, 1, false) })
		f.wire.ensure = func(context.Context, *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			return &rpc.EnsureResponse{Held: true, WarmUpMs: 3000}, nil
		}
		asked := make(chan string, 1)
		f.wire.reserve = func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			asked <- r.Instance
			return &rpc.ReserveResponse{Granted: true, WaitMs: 10}, nil
		}
		Expect(send(f.request("POST", "/once/", platform.HeaderModel, "rare")).status).To(Equal(200))
		Expect(asked).To(Receive(Equal("i-1")))
	})

	// Guards against a burst to a target without an agent that has just restarted: the
	// platform's list shows it seconds later.
	It("may be one that could not be reached", func() {
		f := newFleet("plain", answer(200, "x"))
		f.wire.mu.Lock()
		address := f.wire.standings[0].Address
		f.wire.version++
		f.wire.standings[0].Address, f.wire.standings[0].Agent = "127.0.0.1:1", ""
		f.wire.mu.Unlock()
		Eventually(func() int { return send(f.request("GET", "/lookup/")).status }).ShouldNot(Equal(200))
		asked := make(chan string, 100)
		f.wire.mu.Lock()
		f.wire.reserve = func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			asked <- r.Instance
			return &rpc.ReserveResponse{Granted: true}, nil
		}
		f.wire.version++
		f.wire.standings[0].Address = address
		f.wire.mu.Unlock()
		Eventually(func() int { return send(f.request("GET", "/lookup/")).status }).WithTimeout(5 * time.Second).Should(Equal(200))
		Expect(asked).To(Receive(Equal("i-1")))
	})
})
