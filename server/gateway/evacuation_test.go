package gateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
)

// evacuate replaces the view by one in which failure domain d is evacuated, or is back.
func (f *fleet) evacuate(out bool) {
	GinkgoHelper()
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	s := *f.source.current
	s.Evacuations = map[string]*coordpb.Evacuation{"d": {FailureDomain: "d", Evacuated: out}}
	f.source.current = &s
	close(f.source.changed)
	f.source.changed = make(chan struct{})
}

var _ = Describe("an evacuated failure domain", func() {
	// Guards against sending to a domain that is about to be switched off, and against a
	// burst to its targets on their return.
	It("gets no calls, and paced ones after its return", func() {
		f := newFleet("plain", answer(200, "x"))
		Expect(send(f.request("GET", "/lookup/")).status).To(Equal(200))
		f.evacuate(true)
		r := send(f.request("GET", "/lookup/"))
		Expect(r.status).To(Equal(503))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.arrivals()).To(Equal(1))
		asked := make(chan string, 100)
		f.wire.reserve = func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			asked <- r.Instance
			return &rpc.ReserveResponse{Granted: true}, nil
		}
		f.evacuate(false)
		Eventually(func() int { return send(f.request("GET", "/lookup/")).status }).Should(Equal(200))
		Expect(asked).To(Receive(Equal("i-1")))
	})

	// Guards against sending a call that waited for its model while the domain was evacuated.
	It("gets no call that waited for a model", func() {
		f := newFleet("models", func(w http.ResponseWriter, _ *http.Request, _ int) { stream(w, 1, 1, false) })
		f.wire.ensure = func(context.Context, *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			f.evacuate(true)
			return &rpc.EnsureResponse{Held: true}, nil
		}
		start := time.Now()
		Expect(send(f.request("POST", "/once/", platform.HeaderModel, "rare")).status).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second), "refused at once")
		Expect(f.arrivals()).To(BeZero())
	})

	// Guards against cutting off what runs at targets that are taken out of service.
	It("finishes the streams that run there", func() {
		started, release := make(chan struct{}), make(chan struct{})
		f := newFleet("models", func(w http.ResponseWriter, _ *http.Request, _ int) {
			stream(w, 1, 1, false)
			close(started)
			<-release
			stream(w, 2, 3, false)
		})
		reply := sendLater(f.request("POST", "/once/", platform.HeaderModel, "m"))
		<-started
		f.evacuate(true)
		close(release)
		Expect((<-reply).body).To(ContainSubstring("x3"))
	})
})
