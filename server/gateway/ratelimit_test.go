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
})
