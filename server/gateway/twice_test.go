package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// overlapLimit is for how long two targets that the gateway reaches may work on one stream.
const overlapLimit = 400 * time.Millisecond

// run is the time in which a target worked on a request.
type run struct{ began, ended time.Time }

func overlap(a, b run) time.Duration {
	began, ended := a.began, a.ended
	if b.began.After(began) {
		began = b.began
	}
	if b.ended.Before(ended) {
		ended = b.ended
	}
	return ended.Sub(began)
}

// silentFor pauses, then sends the rest of the stream, unless it is canceled before.
func silentFor(d time.Duration, runs chan<- run) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		began := time.Now()
		within(r, d)
		if r.Context().Err() == nil {
			whole(w, r, n)
		}
		runs <- run{began, time.Now()}
	}
}

// threeThenSilent sends three events and nothing more.
func threeThenSilent(runs chan<- run) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		began := time.Now()
		stream(w, 1, 3, false)
		<-r.Context().Done()
		runs <- run{began, time.Now()}
	}
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// granting reserves a place for each request that asks for one, and passes on all others.
func granting(serve targetHandler) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		if r.URL.Path == platform.ReservationPath {
			_, _ = io.WriteString(w, `{"Hold":"place"}`)
			return
		}
		serve(w, r, n)
	}
}

// answerRaw writes bytes to the connection of a request, and closes it.
func answerRaw(text string) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

var _ = Describe("a stream that continues at another target", func() {
	var first, second chan run
	BeforeEach(func() { first, second = make(chan run, 4), make(chan run, 4) })

	begin := func(f *fleet, headers ...string) <-chan reply {
		GinkgoHelper()
		f.wire.awaitPolls()
		headers = append([]string{"Model", "m", platform.HeaderDeadline, "3000"}, headers...)
		replies := sendLater(f.request("POST", "/stream/a", headers...))
		Eventually(func() int { return f.requestsAt("i-1") }).Should(BeNumerically(">", 0))
		return replies
	}
	await := func(runs <-chan run) (r run) {
		GinkgoHelper()
		Eventually(runs).WithTimeout(4 * time.Second).Should(Receive(&r))
		return r
	}

	// Guards against two runs of a stream that its caller has resumed and whose target has not sent an event yet.
	It("does not run at both for long if the caller has resumed it", func() {
		f := newFleet("models", reported(func(w http.ResponseWriter, r *http.Request, n int) {
			if r.Header.Get(platform.HeaderLastEvent) == "" {
				stream(w, 1, 3, true)
			}
			silentFor(time.Hour, first)(w, r, n)
		}))
		f.wire.mu.Lock()
		f.wire.ensure = refuseLoads
		f.wire.mu.Unlock()
		f.wire.awaitPolls()
		began := send(f.request("POST", "/stream/a", "Model", "m", platform.HeaderRequestID, "r-0"))
		Expect(began.err).To(HaveOccurred())
		replies := sendLater(f.request("POST", "/stream/a", "Model", "m", platform.HeaderDeadline, "3000",
			platform.HeaderLastEvent, "3", platform.HeaderResumes, "r-0"))
		Eventually(func() int { return f.requestsAt("i-1") }).Should(Equal(2))
		f.addTarget("i-2", "models", reported(granting(silentFor(700*time.Millisecond, second))))
		Eventually(replies).WithTimeout(4 * time.Second).Should(Receive())
		Expect(overlap(await(first), await(second))).To(BeNumerically("<", overlapLimit))
	})

	// Guards against a run that is not canceled after its caller resumed the stream at another entry host.
	It("does not run at both for long if the caller resumes it at another entry host", func() {
		f := newFleet("models", reported(threeThenSilent(first)))
		other := f.addHosts("e2")[0]
		f.wire.awaitPolls()
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		began, err := sendWithin(ctx, f.request("POST", "/stream/a", "Model", "m", platform.HeaderRequestID, "r-0"))
		Expect(err).NotTo(HaveOccurred())
		defer began.Body.Close()
		_, err = io.ReadFull(began.Body, make([]byte, len(wholeStream)/2))
		Expect(err).NotTo(HaveOccurred())
		f.addTarget("i-2", "models", reported(granting(silentFor(700*time.Millisecond, second))))
		f.setModels("i-1")
		f.wire.awaitPolls()
		leave()
		r := f.request("POST", "/stream/a", "Model", "m", platform.HeaderLastEvent, "3", platform.HeaderResumes, "r-0")
		r.URL.Host = other
		Expect(send(r).status).To(Equal(http.StatusOK))
		Expect(overlap(await(first), await(second))).To(BeNumerically("<", overlapLimit))
	})

	// Guards against a stream that runs at two targets when the first one responds again.
	It("does not run on at the first target once another one has it", func() {
		const notice = 300 * time.Millisecond // in which the first target's server reads the reset
		target := &suspendable{}
		target.serve = func(w http.ResponseWriter, r *http.Request, n int) {
			stream(w, 1, 3, false)
			target.suspend()
			target.await(r)
			silentFor(notice, first)(w, r, n)
		}
		f := newFleet("models", target.handle)
		replies := begin(f)
		f.addTarget("i-2", "models", reported(granting(func(w http.ResponseWriter, r *http.Request, n int) {
			target.resume()
			silentFor(2*notice, second)(w, r, n)
		})))
		var got reply
		Eventually(replies).WithTimeout(4 * time.Second).Should(Receive(&got))
		Expect(got.body).To(Equal(wholeStream))
		Expect(overlap(await(first), await(second))).To(BeNumerically("<", notice))
	})

	// Guards against two targets that run one stream for as long as the entry host gets no processor.
	It("is sent to another target only after it has ended at the first one", func() {
		ended := make(chan struct{})
		f := newFleet("models", reported(func(w http.ResponseWriter, r *http.Request, _ int) {
			stream(w, 1, 3, false)
			<-r.Context().Done()
			close(ended)
		}))
		replies := begin(f)
		f.addTarget("i-2", "models", reported(granting(func(w http.ResponseWriter, r *http.Request, n int) {
			select {
			case <-ended:
				whole(w, r, n)
			case <-time.After(overlapLimit):
			}
		})))
		var got reply
		Eventually(replies).WithTimeout(4 * time.Second).Should(Receive(&got))
		Expect(got.body).To(Equal(wholeStream))
	})

	// Guards against taking a target for unreachable that resets new connections because it has too many.
	It("does not leave a target that resets new connections", func() {
		f := newFleet("models", func(w http.ResponseWriter, r *http.Request, n int) {
			if r.URL.Path == platform.ReportPath {
				resetConnection(w)
				return
			}
			threeThenSilent(first)(w, r, n)
		})
		replies := begin(f)
		f.addTarget("i-2", "models", reported(granting(silentFor(700*time.Millisecond, second))))
		Eventually(replies).WithTimeout(4 * time.Second).Should(Receive())
		Expect(overlap(await(first), await(second))).To(BeNumerically("<", overlapLimit))
		Expect(f.lines.String()).NotTo(ContainSubstring("target_unreachable"))
	})

	// Guards against two runs while the next probe of a target that responds again is not due yet.
	It("does not run at both for long after the first target responds again", func() {
		target := &suspendable{}
		target.serve = func(w http.ResponseWriter, r *http.Request, n int) {
			stream(w, 1, 3, false)
			target.suspend()
			target.await(r)
			silentFor(time.Hour, first)(w, r, n)
		}
		f := newFleet("models", target.handle)
		replies := begin(f)
		f.addTarget("i-2", "models", reported(granting(silentFor(1200*time.Millisecond, second))))
		Eventually(func() []string { return f.resumes("i-2") }).WithTimeout(2 * time.Second).Should(HaveLen(1))
		target.resume()
		Eventually(replies).WithTimeout(4 * time.Second).Should(Receive())
		Expect(overlap(await(first), await(second))).To(BeNumerically("<", overlapLimit))
	})
})

var _ = Describe("a call that may run once", func() {
	const stamp = platform.HeaderStamp + ": s\r\n"

	// Guards against a second run because of an answer, or of a part of one, that does not prove that the first did
	// not take place.
	DescribeTable("runs at one target", func(text string) {
		f := newFleet("plain", answerRaw(text), answerRaw(text))
		f.wire.awaitPolls()
		got := send(f.request("POST", "/order/"))
		Expect(f.arrivals()).To(Equal(1))
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
	},
		Entry("that closes without an answer", ""),
		Entry("that closes within the status line", "HTTP/1.1 50"),
		Entry("that closes within a field that says not run", "HTTP/1.1 503 Full\r\nRequest-Id: r-1\r\nNot-Run: 1"),
		Entry("that closes after an informational answer", "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n"),
		Entry("whose answer belongs to another request", "HTTP/1.1 503 Full\r\nRequest-Id: r-0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("whose refusal names no request", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"+stamp+"Content-Length: 0\r\n\r\n"),
		Entry("whose misdirected answer names no request", "HTTP/1.1 421 Misdirected\r\n"+stamp+"Content-Length: 0\r\n\r\n"),
		Entry("that sends bytes that are no answer", "\x00\x01\x02\r\n\r\n"),
	)

	// Guards against a second run because the refusal of a target comes twice, and its address belongs to another target
	// meanwhile, which has the second one on its connection.
	It("is not taken for refused by a refusal of its earlier attempt", func() {
		const refused = "HTTP/1.1 421 Misdirected\r\nRequest-Id: r-1\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n"
		const done = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n" + stamp + "Content-Length: 4\r\n\r\ndone"
		var runs atomic.Int32
		f := newFleet("plain")
		f.addRawTargets([]string{"i-1", "i-2", "i-3"}, "plain", func(connection, request int) string {
			if connection == 1 && request == 1 {
				return refused
			}
			runs.Add(1)
			if connection == 1 {
				return refused + done // the second copy, and the answer
			}
			return done
		})
		got := send(f.request("POST", "/order/"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(got.summary()).To(Equal("200 done"))
	})

	// Guards against a second run because the first target does not respond.
	It("stays at a target that is silent, also at one whose host does not respond", func() {
		target := &suspendable{}
		target.serve = func(w http.ResponseWriter, r *http.Request, n int) {
			target.suspend()
			target.await(r)
			answer(200, "done")(w, r, n)
		}
		f := newFleet("plain", target.handle, target.handle)
		f.wire.awaitPolls()
		replies := sendLater(f.request("POST", "/order/"))
		Consistently(f.arrivals, 1500*time.Millisecond).Should(BeNumerically("<=", 1))
		target.resume()
		var got reply
		Eventually(replies).Should(Receive(&got))
		Expect(got.summary()).To(Equal("200 done"))
		Expect(f.arrivals()).To(Equal(1))
	})

	// Guards against a second run, or a refusal that says "not run", because control is lost during the first one.
	It("is not sent again if the lease has lapsed meanwhile", func() {
		var f *fleet
		lapse := func(w http.ResponseWriter, r *http.Request, n int) {
			f.source.setFresh(false)
			breakOff(w, r, n)
		}
		f = newFleet("plain", lapse, lapse)
		f.wire.awaitPolls()
		Expect(send(f.request("POST", "/order/")).status).To(Equal(http.StatusBadGateway))
		f.source.setFresh(true)
		Consistently(f.arrivals, 300*time.Millisecond).Should(Equal(1))
	})
})
