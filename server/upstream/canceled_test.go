package upstream_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/dial/dialtest"
	"cowsliptiller/server/upstream"
)

// cancelAtSuspended sends a call to a suspended target and cancels it once the target has read
// a part of it.
func cancelAtSuspended() (*dialtest.SuspendedServer, error) {
	s, err := dialtest.NewSuspendedServer()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.Began
		cancel()
	}()
	_, err = upstream.NewPool(time.Now).Do(ctx, &upstream.Request{
		Address: s.Address, Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, dialtest.LongBody),
	})
	return s, err
}

var _ = Describe("a canceled call", func() {
	It("reports how much of the request the target had not acknowledged", func() {
		s, err := cancelAtSuspended()
		Expect(err).To(MatchError(context.Canceled))
		Expect(upstream.MaybeSent(err)).To(BeTrue())
		Expect(upstream.Unacknowledged(err)).To(BeNumerically(">", dialtest.LongBody/2))
		_ = s.Resume()
	})

	// Guards against delivering a call to a target after its caller has left: the target's host
	// was suspended or cut off, and the kernel sends the unacknowledged bytes when it is back.
	It("does not reach a target that resumes later", func() {
		s, err := cancelAtSuspended()
		Expect(err).To(MatchError(context.Canceled))
		Expect(s.Resume()).To(HaveOccurred())
	})
})
