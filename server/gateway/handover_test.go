package gateway_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/rpc"
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
		Eventually(func() int { return f.askedAt(instance) }).WithTimeout(moveWithin).Should(BeNumerically(">", 0))
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

	// Guards against a place that nobody uses, and against a run at the other target, if the first one responds while a place
	// is reserved.
	It("continues there if it resumes while the other target reserves a place, which is released", func() {
		first.serve = func(w http.ResponseWriter, r *http.Request, _ int) {
			stream(w, 1, 3, false)
			first.suspend()
			first.await(r)
			stream(w, 4, 4, false)
			within(r, 300*time.Millisecond)
			stream(w, 5, 6, false)
		}
		f := newFleet("models", first.handle)
		released := make(chan struct{}, 1)
		replies := begin(f, func(w http.ResponseWriter, r *http.Request, n int) {
			switch r.URL.Path {
			case platform.ReservationPath:
				first.resume()
				within(r, 150*time.Millisecond)
				granting(hang)(w, r, n)
			case platform.ReleasePath("place"):
				released <- struct{}{}
			}
		})
		Expect(result(replies).body).To(Equal(wholeStream))
		Expect(f.resumes("i-2")).To(BeEmpty())
		Eventually(released).Should(Receive())
	})

	// Guards against a request that does not use the place that was reserved for it.
	It("continues in the place that the other target has reserved", func() {
		f := newFleet("models", first.handle)
		places := make(chan string, 1)
		replies := begin(f, granting(func(w http.ResponseWriter, r *http.Request, n int) {
			places <- r.Header.Get(platform.HeaderReservation)
			whole(w, r, n)
		}))
		Expect(result(replies).body).To(Equal(wholeStream))
		Expect(places).To(Receive(Equal("place")))
	})

	// Guards against asking targets for a place that run what they are asked as a request.
	It("continues without a reservation if targets reserve no places", func() {
		f := newFleet("models", first.handle)
		f.changeDeployment(func(d *coordpb.Deployment) { d.Services[1].Engine.LongestReservationMs = 0 })
		replies := begin(f, whole)
		Expect(result(replies).body).To(Equal(wholeStream))
		Expect(f.askedAt("i-2")).To(Equal(1))
		Expect(f.resumes("i-2")).To(HaveLen(1))
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
		Expect(f.askedAt("i-2") + f.askedAt("i-3")).To(BeZero())
	})
})

// within blocks for a time, or until the caller of a target has left.
func within(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// setMaxTargets sets how many targets may run one call.
func (f *fleet) setMaxTargets(n uint32) {
	f.changeDeployment(func(d *coordpb.Deployment) {
		for _, r := range d.Routes {
			r.MaxTargets = n
		}
	})
}

// changeDeployment replaces the deployment by a changed one.
func (f *fleet) changeDeployment(change func(d *coordpb.Deployment)) {
	d := deploymentOf()
	change(d)
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	changed := *f.source.current
	changed.Deployment, changed.Routes = d, deployment.NewIndex(d)
	f.source.current = &changed
}

var _ = Describe("two attempts of one call", func() {
	// answerTimeout is a little over the deadline of the calls.
	const answerTimeout = 4 * time.Second

	result := func(replies <-chan reply) (got reply) {
		GinkgoHelper()
		Eventually(replies).WithTimeout(answerTimeout).Should(Receive(&got))
		return got
	}
	begin := func(f *fleet, headers ...string) <-chan reply {
		GinkgoHelper()
		f.wire.awaitPolls()
		replies := sendLater(f.request("POST", "/stream/a", append([]string{"Model", "m"}, headers...)...))
		Eventually(func() int { return f.requestsAt("i-1") }).Should(Equal(1))
		return replies
	}

	// Guards against a stream that runs on at a target that is silent, though its host responds, while
	// it has long continued at another one.
	It("do not both run for long if both targets respond", func() {
		firstLeft, secondLeft := make(chan time.Time, 1), make(chan time.Time, 1)
		secondBegan := make(chan time.Time, 1)
		f := newFleet("models", reported(func(w http.ResponseWriter, r *http.Request, _ int) {
			stream(w, 1, 3, false)
			<-r.Context().Done()
			firstLeft <- time.Now()
		}))
		replies := begin(f, platform.HeaderDeadline, "3000")
		f.addTarget("i-2", "models", reported(func(w http.ResponseWriter, r *http.Request, n int) {
			secondBegan <- time.Now()
			within(r, 700*time.Millisecond)
			if r.Context().Err() == nil {
				whole(w, r, n)
			}
			secondLeft <- time.Now()
		}))
		result(replies)
		began, left, otherLeft := <-secondBegan, <-firstLeft, <-secondLeft
		overlap := min(left.Sub(began), otherLeft.Sub(began))
		Expect(overlap).To(BeNumerically("<", 400*time.Millisecond))
	})

	// Guards against pieces of two software versions in one stream: its first event comes while a
	// second attempt waits for its send time.
	It("have one software version once the stream has begun", func() {
		release := make(chan struct{})
		f := newFleet("models", reported(func(w http.ResponseWriter, r *http.Request, _ int) {
			<-release
			stream(w, 1, 3, false)
			<-r.Context().Done()
		}))
		f.wire.mu.Lock()
		var once sync.Once
		f.wire.reserve = func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			if r.Instance == "i-2" {
				once.Do(func() { close(release) })
			}
			return &rpc.ReserveResponse{Granted: true, WaitMs: 100}, nil
		}
		f.wire.ensure = refuseLoads
		f.wire.mu.Unlock()
		replies := begin(f, platform.HeaderDeadline, "3000")
		f.addTarget("i-2", "models", reported(whole))
		f.wire.mu.Lock()
		f.wire.standings[1].SoftwareVersion = "v2"
		f.wire.standings[1].RateLimit = &rpc.RateObservation{Limited: true, PerSecond: 5}
		f.wire.mu.Unlock()
		result(replies)
		Expect(f.resumes("i-2")).To(BeEmpty())
	})

	// Guards against taking a stream for broken off of which nothing was left.
	It("are complete if the second has nothing to add", func() {
		s := &suspendable{}
		s.serve = func(w http.ResponseWriter, r *http.Request, _ int) {
			stream(w, 1, 6, false)
			s.suspend()
			s.await(r)
		}
		f := newFleet("models", s.handle)
		replies := begin(f)
		f.addTarget("i-2", "models", reported(func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Content-Type", "text/event-stream")
		}))
		got := result(replies)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(wholeStream))
	})

	// Guards against canceling a second attempt because the first target answers that it failed.
	It("are answered by the second if the first target fails", func() {
		var calls atomic.Int32
		second := make(chan struct{})
		serve := func(w http.ResponseWriter, r *http.Request, n int) {
			if calls.Add(1) == 1 {
				<-second
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			close(second)
			within(r, 200*time.Millisecond)
			answer(200, "found")(w, r, n)
		}
		configure := func(c *gateway.Config) { c.Ratio, c.Reserve = 0, 2 }
		f := newFleetWith(configure, "plain", false, reported(serve), reported(serve))
		f.wire.awaitPolls()
		Expect(result(sendLater(f.request("GET", "/lookup/"))).summary()).To(Equal("200 found"))
	})

	// Guards against waiting for a second target that hangs.
	It("leave a second target that hangs for a third one", func() {
		f := newFleet("plain", reported(hang), reported(hang))
		f.setMaxTargets(4)
		f.wire.awaitPolls()
		replies := sendLater(f.request("GET", "/lookup/"))
		Eventually(f.arrivals).WithTimeout(moveWithin).Should(Equal(2))
		f.addTarget("i-3", "plain", reported(answer(200, "found")))
		Expect(result(replies).summary()).To(Equal("200 found"))
	})

	// thirdTakesOver begins a stream that leaves its target for a second one, where it fails, and expects that a
	// third one sends the rest.
	thirdTakesOver := func(fail func(s *suspendable, w http.ResponseWriter, r *http.Request)) {
		GinkgoHelper()
		first, left := pausing()
		f := newFleet("models", first.handle)
		f.setMaxTargets(3)
		replies := begin(f)
		var failed atomic.Bool
		for _, instance := range []string{"i-2", "i-3"} {
			s := &suspendable{}
			s.serve = granting(func(w http.ResponseWriter, r *http.Request, n int) {
				if failed.CompareAndSwap(false, true) {
					fail(s, w, r)
					return
				}
				whole(w, r, n)
			})
			f.addTarget(instance, "models", s.handle)
		}
		got := result(replies)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(wholeStream))
		Eventually(left).Should(BeClosed())
	}
	beginEvent := func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 4\nda")
		w.(http.Flusher).Flush()
	}

	// Guards against forwarding the beginning of an event of a second target that does not send the rest.
	It("continue at a third target after the last complete event", func() {
		thirdTakesOver(func(s *suspendable, w http.ResponseWriter, r *http.Request) {
			beginEvent(w)
			s.suspend()
			s.await(r)
		})
	})

	// Guards against taking a stream for complete that ends inside the first event of its second target.
	It("continue at a third target if the second one's stream is truncated", func() {
		thirdTakesOver(func(_ *suspendable, w http.ResponseWriter, _ *http.Request) { beginEvent(w) })
	})

	// Guards against breaking off a stream whose second target reserves a place and refuses it all the same.
	It("continue at a third target if the second one refuses", func() {
		thirdTakesOver(func(_ *suspendable, w http.ResponseWriter, r *http.Request) { notRun(w, r, 0) })
	})

	// Guards against leaving a target whose answer is being received.
	It("do not begin while an answer is being received", func() {
		slow := func(w http.ResponseWriter, r *http.Request, _ int) {
			for range 8 {
				_, _ = io.WriteString(w, "0123456789")
				w.(http.Flusher).Flush()
				within(r, 100*time.Millisecond)
			}
		}
		f := newFleet("plain", reported(slow), reported(slow))
		f.wire.awaitPolls()
		Expect(result(sendLater(f.request("GET", "/lookup/"))).status).To(Equal(http.StatusOK))
		Expect(f.arrivals()).To(Equal(1))
	})

	// Guards against an answer that waits, after its last event, for a second attempt that began when
	// the first had ended: a target is asked for its report as the first one resumes.
	It("do not delay the end of an answer", func() {
		for i := range 15 {
			first, _ := pausing()
			f := newFleet("models", first.handle)
			f.wire.mu.Lock()
			f.wire.ensure = refuseLoads
			f.wire.mu.Unlock()
			replies := begin(f)
			resumed := make(chan time.Time, 1)
			f.addTarget("i-2", "models", func(w http.ResponseWriter, r *http.Request, n int) {
				if r.URL.Path != platform.ReportPath {
					hang(w, r, n)
					return
				}
				if n == 1 {
					resumed <- time.Now()
					go first.resume()
					within(r, time.Duration(i)*40*time.Microsecond)
				}
			})
			Expect(result(replies).body).To(Equal(wholeStream))
			Expect(time.Since(<-resumed)).To(BeNumerically("<", moveWithin))
			Expect(f.gateway.Close()).To(Succeed())
		}
	})
})
