package gateway_test

import (
	"context"
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
)

// requestsBackoff refuses a call and requests a backoff in seconds.
func requestsBackoff(seconds string) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set(platform.HeaderRetryAfter, seconds)
		notRun(w, r, n)
	}
}

// leaves serves a call and says that the target leaves.
func leaves(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set(platform.HeaderLeaving, "1")
}

var _ = Describe("a target that requests a backoff", func() {
	// Guards against sending each new call to a target that wants none for some seconds.
	It("gets no call from this host until it has ended", func() {
		f := newFleet("plain", requestsBackoff("30"), answer(200, "fine"))
		Eventually(func() int { send(f.request("POST", "/order/")); return f.arrivalsAt("i-1") }).Should(Equal(1))
		for range 20 {
			Expect(send(f.request("POST", "/order/")).body).To(Equal("fine"))
		}
		Expect(f.arrivalsAt("i-1")).To(Equal(1))
	})

	// Guards against callers that wait for, or come back to, a service whose targets are all in backoff.
	It("has its callers refused at once, until the first target of the service is back", func() {
		f := newFleet("plain", requestsBackoff("40"), requestsBackoff("30"))
		Expect(send(f.request("POST", "/order/")).status).To(Equal(http.StatusServiceUnavailable))
		for range 5 {
			got := send(f.request("POST", "/order/"))
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">", 25), BeNumerically("<=", 30)))
		}
		Expect(f.arrivals()).To(Equal(2))
	})
})

var _ = Describe("a call that waits while its target requests a backoff", func() {
	// Guards against sending what was waiting when the target requested it.
	It("is not sent to it", func() {
		f := newFleet("models", requestsBackoff("30"))
		waiting, loaded := make(chan struct{}), make(chan struct{})
		f.wire.ensure = func(context.Context, *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			close(waiting)
			<-loaded
			return &rpc.EnsureResponse{Held: true}, nil
		}
		call := sendLater(f.request("POST", "/once/", platform.HeaderModel, "rare"))
		Eventually(waiting).Should(BeClosed())
		Expect(send(f.request("POST", "/once/", platform.HeaderModel, "m")).status).To(Equal(http.StatusServiceUnavailable))
		close(loaded)
		got := <-call
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.arrivals()).To(Equal(1))
	})
})

var _ = Describe("a target that says that it leaves", func() {
	// Guards against sending calls to a target that leaves until the table shows it.
	It("gets no call from a host that has had such an answer", func() {
		f := newFleet("plain", leaves, answer(200, ""))
		Eventually(func() int { send(f.request("POST", "/order/")); return f.arrivalsAt("i-1") }).Should(Equal(1))
		for range 20 {
			Expect(send(f.request("POST", "/order/")).status).To(Equal(200))
		}
		Expect(f.arrivalsAt("i-1")).To(Equal(1))
	})
})
