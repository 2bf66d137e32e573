package gateway_test

import (
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
)

// pausing sends the first three events of the stream, is suspended until it is resumed, and sends the
// rest. left is closed when a canceled attempt is noticed.
func pausing() (s *suspendable, left chan struct{}) {
	s, left = &suspendable{}, make(chan struct{})
	s.serve = func(w http.ResponseWriter, r *http.Request, _ int) {
		stream(w, 1, 3, false)
		s.suspend()
		s.await(r)
		if r.Context().Err() != nil {
			close(left)
			return
		}
		stream(w, 4, 6, false)
	}
	return s, left
}

// reported answers the probes of a target and passes on all other requests.
func reported(serve targetHandler) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		if r.URL.Path != platform.ReportPath {
			serve(w, r, n)
		}
	}
}

var _ = Describe("an answer whose target pauses", func() {
	var first *suspendable
	var left chan struct{}
	BeforeEach(func() { first, left = pausing() })

	// begin sends a call whose answer begins at the first target, and then adds a second one.
	begin := func(f *fleet, second targetHandler) <-chan reply {
		f.wire.awaitPolls()
		replies := sendLater(f.request("POST", "/stream/a", "Model", "m"))
		Eventually(func() int { return f.requestsAt("i-1") }).Should(Equal(1))
		f.addTarget("i-2", "models", reported(second))
		return replies
	}
	arrivedAt := func(f *fleet, instance string) {
		GinkgoHelper()
		Eventually(func() int { return f.requestsAt(instance) }).WithTimeout(moveWithin).Should(BeNumerically(">", 0))
	}
	result := func(replies <-chan reply) (got reply) {
		GinkgoHelper()
		Eventually(replies).WithTimeout(moveWithin).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		return got
	}

	// Guards against breaking off a stream whose second target refuses it while its first one pauses.
	It("continues there if the other target is full", func() {
		f := newFleet("models", first.handle)
		replies := begin(f, notRun)
		arrivedAt(f, "i-2")
		first.resume()
		Expect(result(replies).body).To(Equal(wholeStream))
	})

	// Guards against breaking off a stream because its move has used the last retry.
	It("continues there if the other target is full and no retry is left", func() {
		configure := func(c *gateway.Config) { c.Ratio, c.Reserve = 0, 4 }
		f := newFleetWith(configure, "models", false, first.handle)
		replies := begin(f, notRun)
		arrivedAt(f, "i-2")
		first.resume()
		Expect(result(replies).body).To(Equal(wholeStream))
	})

	// Guards against breaking off a stream whose second target ends under it.
	It("continues there if the other target breaks off", func() {
		f := newFleet("models", first.handle)
		replies := begin(f, breakOff)
		arrivedAt(f, "i-2")
		first.resume()
		Expect(result(replies).body).To(Equal(wholeStream))
	})

	// Guards against waiting for a second target that does not respond either, and against a run that
	// continues there after the first target has resumed.
	It("continues there if it resumes before the other target begins", func() {
		f := newFleet("models", first.handle)
		canceled := make(chan struct{})
		replies := begin(f, func(w http.ResponseWriter, r *http.Request, n int) {
			hang(w, r, n)
			close(canceled)
		})
		arrivedAt(f, "i-2")
		first.resume()
		Expect(result(replies).body).To(Equal(wholeStream))
		Eventually(canceled).Should(BeClosed())
	})

	// Guards against events that come twice or a run that continues at the first target.
	It("continues at the other target once that has begun", func() {
		f := newFleet("models", first.handle)
		replies := begin(f, whole)
		Expect(result(replies).body).To(Equal(wholeStream))
		first.resume()
		Eventually(left).Should(BeClosed())
		Expect(f.resumes("i-2")).To(HaveLen(1))
	})
})

var _ = Describe("a call without an answer yet whose target pauses", func() {
	// Guards against failing a call that may be repeated because the second target refuses it.
	It("is answered there if the other target is full", func() {
		var full atomic.Bool
		release := make(chan struct{})
		serve := func(w http.ResponseWriter, r *http.Request, n int) {
			if !full.CompareAndSwap(false, true) {
				notRun(w, r, n)
				return
			}
			select {
			case <-release:
				answer(200, "found")(w, r, n)
			case <-r.Context().Done():
			}
		}
		configure := func(c *gateway.Config) { c.Ratio, c.Reserve = 0, 2 }
		f := newFleetWith(configure, "plain", false, reported(serve), reported(serve))
		f.wire.awaitPolls()
		replies := sendLater(f.request("GET", "/lookup/"))
		Eventually(f.arrivals).WithTimeout(moveWithin).Should(Equal(2))
		close(release)
		var got reply
		Eventually(replies).WithTimeout(moveWithin).Should(Receive(&got))
		Expect(got.body).To(Equal("found"))
	})
})

var _ = Describe("a second attempt", func() {
	// Guards against using up a call's targets on one that pauses as well: many pause together.
	It("goes to a target that responds", func() {
		first, _ := pausing()
		f := newFleet("models", first.handle)
		f.wire.awaitPolls()
		replies := sendLater(f.request("POST", "/stream/a", "Model", "m"))
		Eventually(func() int { return f.requestsAt("i-1") }).Should(Equal(1))
		for _, instance := range []string{"i-2", "i-3"} {
			other := &suspendable{serve: whole}
			other.suspend()
			f.addTarget(instance, "models", other.handle)
		}
		f.addTarget("i-4", "models", reported(whole))
		var got reply
		Eventually(replies).WithTimeout(2 * moveWithin).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(wholeStream))
		Expect(f.requestsAt("i-2") + f.requestsAt("i-3")).To(BeZero())
	})
})
