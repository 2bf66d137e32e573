package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request in the grace period of an entry host", func() {
	const grace = 1500 * time.Millisecond
	const confirmation = `{"model":"m1"}`

	drain := func(f *fleet) {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		go func() {
			defer cancel()
			_ = f.entries[0].Drain(ctx)
		}()
		Eventually(f.entries[0].Ready).ShouldNot(Succeed())
	}
	expectNotRun := func(r reply) {
		GinkgoHelper()
		Expect(r.broken).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusServiceUnavailable), r.body)
		Expect(r.refusal().Ran).To(Equal("no"))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	sendLater := func(f *fleet, a ask) <-chan reply {
		replies := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			replies <- f.send(a)
		}()
		return replies
	}

	// Guards against a request that is passed on when its body is whole, and is cut at the end of the grace period.
	It("is refused at once as not run if its body is not whole", func() {
		f := newFleet(1)
		conn, err := net.Dial("tcp", f.entries[0].Address().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nAuthorization: Bearer "+labsKey+"\r\nContent-Length: 14\r\n\r\n"+confirmation[:13])
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.bodies.Held).WithTimeout(generous).Should(BeNumerically(">", 0))
		start := time.Now()
		drain(f)
		Expect(conn.SetDeadline(time.Now().Add(generous))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		expectNotRun(reply{status: resp.StatusCode, header: resp.Header, body: string(body)})
		Expect(time.Since(start)).To(BeNumerically("<", grace))
	})

	// Guards against a request that waits for a target until the process ends, without an answer.
	It("is refused as not run if no target has got it", func() {
		f := newFleet(1)
		replies := sendLater(f, ask{path: "/v1/completions", body: confirmation})
		Eventually(f.control.waiting).WithTimeout(generous).Should(BeNumerically(">", 0))
		drain(f)
		var got reply
		Eventually(replies).WithTimeout(generous).Should(Receive(&got))
		expectNotRun(got)
	})

	// Guards against a call that must not be repeated, and begins although the process may end before its answer.
	It("is refused as not run if it must not be repeated and a target is found too late", func() {
		f := newFleet(1)
		replies := sendLater(f, ask{path: "/v1/completions", body: confirmation, header: map[string]string{"Cowslip-Class": "confirmation"}})
		Eventually(f.control.waiting).WithTimeout(generous).Should(BeNumerically(">", 0))
		drain(f)
		var called atomic.Bool
		f.engineOf("engine-1", func(http.ResponseWriter, *http.Request) { called.Store(true) })
		var got reply
		Eventually(replies).WithTimeout(generous).Should(Receive(&got))
		expectNotRun(got)
		Expect(called.Load()).To(BeFalse())
	})

	// Guards against a call that runs until the process ends and gets no answer.
	It("is answered as one that may have run if its target does not end", func() {
		f := newFleet(1)
		began := make(chan struct{})
		f.engineOf("engine-1", func(_ http.ResponseWriter, r *http.Request) {
			close(began)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		replies := sendLater(f, ask{path: "/v1/completions", body: confirmation, header: map[string]string{"Cowslip-Class": "confirmation"}})
		Eventually(began).WithTimeout(generous).Should(BeClosed())
		drain(f)
		var got reply
		Eventually(replies).WithTimeout(generous).Should(Receive(&got))
		Expect(got.broken).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
		Expect(got.refusal().Ran).NotTo(Equal("no"))
	})
})
