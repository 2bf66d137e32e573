package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/rpc"
)

var _ = Describe("a request that comes late in the grace period of a host", func() {
	// grace is the grace period of the fleet's host, and latest when it ends calls.
	const grace, latest = 2 * time.Second, 1100 * time.Millisecond

	// drain begins the shutdown and returns once the host accepts no requests.
	drain := func(f *fleet) {
		GinkgoHelper()
		go func() { _ = f.gateway.Drain(context.Background()) }()
		Eventually(func() error {
			c, err := net.Dial("tcp4", f.address)
			if err == nil {
				_ = c.Close()
			}
			return err
		}).Should(HaveOccurred(), "the listener is closed")
	}
	// expectNotRun expects an answer that promises that the request has not run, and lets its caller return elsewhere.
	expectNotRun := func(r reply, f *fleet) {
		GinkgoHelper()
		Expect(r.status).To(Equal(503), r.body)
		Expect(r.body).To(ContainSubstring(`"ran":"no"`))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.closes).To(BeTrue())
		Expect(f.arrivals()).To(Equal(0))
	}
	// beginBody opens a connection and sends a request whose body lacks its last byte.
	beginBody := func(f *fleet, path string) net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp4", f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: r-1\r\n%s: m\r\nDeadline-Ms: 2500\r\nContent-Length: 3\r\n\r\nab",
			path, host, key, platform.HeaderModel)
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.config.Bodies.Held).Should(BeNumerically(">", 0))
		return c
	}
	receive := func(c net.Conn) reply {
		GinkgoHelper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return reply{resp.StatusCode, resp.Header, string(body), err, resp.Close}
	}

	// Guards against a request that is passed on when its body is whole, although the host accepts none any more, and is
	// cut at the end of the grace period; and against one that waits for its body meanwhile.
	DescribeTable("is refused at once as not run if its body is not whole", func(service, path string) {
		f := newFleet(service, hang)
		c := beginBody(f, path)
		start := time.Now()
		drain(f)
		expectNotRun(receive(c), f)
		Expect(time.Since(start)).To(BeNumerically("<", latest))
	},
		Entry("to a plain service", "plain", "/order/x"),
		Entry("to one that may be repeated", "plain", "/lookup/x"),
		Entry("of a stream", "models", "/once/x"),
	)

	// Guards against the same where the body became whole in the same moment.
	It("is refused as not run whenever its body becomes whole", func() {
		for range 5 {
			f := newFleet("plain", answer(200, "done"))
			c := beginBody(f, "/order/x")
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				drain(f)
			}()
			_, _ = c.Write([]byte("c"))
			r := receive(c)
			Expect(r.status).To(BeElementOf(200, 503))
			Expect(f.arrivals()).To(Equal(map[int]int{200: 1, 503: 0}[r.status]))
			<-drained
		}
	})

	// Guards against a wait for tokens that ends with the process, without an answer or as one that may have run.
	It("is refused as not run if it waits for its rate", func() {
		f := newFleet("plain", hang)
		waiting := make(chan struct{})
		began := sync.OnceFunc(func() { close(waiting) })
		f.wire.mu.Lock()
		f.wire.drawing = func(ctx context.Context) {
			began()
			<-ctx.Done()
		}
		f.wire.mu.Unlock()
		r := f.request("POST", "/order/")
		r.Header.Set("Authorization", "Bearer "+limitedKey)
		r.Header.Set(platform.HeaderTokens, "10,0")
		replies := sendLater(r)
		Eventually(waiting).Should(BeClosed())
		start := time.Now()
		drain(f)
		var got reply
		Eventually(replies).Should(Receive(&got))
		expectNotRun(got, f)
		Expect(time.Since(start)).To(BeNumerically("<", latest), "before the end of the grace period")
	})

	// Guards against a wait for a send time that ends with the process.
	It("is refused as not run if it waits for a send time", func() {
		f := newFleet("plain", hang)
		waiting, ended := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(ended) })
		began := sync.OnceFunc(func() { close(waiting) })
		f.wire.mu.Lock()
		f.wire.standings[0].RateLimit = &rpc.RateObservation{Limited: true, PerSecond: 1}
		f.wire.version++
		f.wire.reserve = func(*rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			began()
			<-ended
			return &rpc.ReserveResponse{Granted: true}, nil
		}
		f.wire.mu.Unlock()
		f.wire.awaitPolls()
		replies := sendLater(f.request("POST", "/order/"))
		Eventually(waiting).Should(BeClosed())
		drain(f)
		ended <- struct{}{}
		var got reply
		Eventually(replies).Should(Receive(&got))
		expectNotRun(got, f)
	})

	// Guards against a retry that is sent although its answer would be cut off.
	DescribeTable("is not sent again if no answer can end before the host", func(service, method, path string, run time.Duration) {
		release := make(chan struct{})
		breaking := func(w http.ResponseWriter, r *http.Request, n int) {
			<-release
			breakOff(w, r, n)
		}
		f := newFleet(service, breaking, breaking)
		f.gateway.Observe("i-1", 0, 0, run)
		replies := sendLater(f.request(method, path, platform.HeaderModel, "m"))
		Eventually(f.arrivals).Should(Equal(1))
		drain(f)
		close(release)
		var got reply
		Eventually(replies).Should(Receive(&got))
		Expect(got.status).To(Equal(502))
		Expect(f.arrivals()).To(Equal(1))
	},
		Entry("as three mean runs are longer", "models", "POST", "/stream/", time.Second),
		Entry("as its time limit is later and no run time is known", "plain", "GET", "/lookup/", time.Duration(0)),
	)

	// Guards against a host that gives up calls which can be answered in its grace period.
	It("is sent again while an answer can end before the host", func() {
		release := make(chan struct{})
		first := func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 && r.Header.Get(platform.HeaderRequestID) == "r-1" {
				<-release
				breakOff(w, r, n)
			}
		}
		f := newFleet("plain", first)
		replies := sendLater(f.request("GET", "/lookup/", platform.HeaderDeadline, "900"))
		Eventually(f.arrivals).Should(Equal(1))
		f.addTarget("i-2", "plain", answer(200, "done"))
		f.wire.awaitPolls()
		drain(f)
		close(release)
		var got reply
		Eventually(replies).Should(Receive(&got))
		Expect(got.summary()).To(Equal("200 done"))
	})

	// Guards against a host that accepts requests until the end of a grace period that is shorter than the time in which
	// callers are routed to others.
	It("is refused before the end of a short grace period", func() {
		f := newFleetWith(func(c *gateway.Config) { c.DrainLook, c.Grace = time.Minute, grace }, "plain", false, hang)
		running := sendLater(f.request("POST", "/order/"))
		Eventually(f.arrivals).Should(Equal(1))
		start := time.Now()
		drain(f)
		Expect(time.Since(start)).To(BeNumerically("<", latest))
		Eventually(running, 2*grace).Should(Receive())
	})
})
