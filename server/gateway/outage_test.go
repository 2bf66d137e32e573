package gateway_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

var _ = Describe("a host that does not know yet what it needs", func() {
	// Guards against refusing requests during a fleet-wide restart.
	It("lets callers wait for the deployment and serves them then", func() {
		f := newFleet("plain", answer(200, "booked"))
		f.source.setFresh(false)
		replies := sendLater(f.request("POST", "/order/"))
		Consistently(replies, 100*time.Millisecond).ShouldNot(Receive())
		f.source.setFresh(true)
		var r reply
		Eventually(replies).Should(Receive(&r))
		Expect(r.body).To(Equal("booked"))
	})

	// Guards against requests that wait at a partitioned host while others could serve them.
	It("refuses at once when it has not heard from control for long", func() {
		f := newFleet("plain", answer(200, ""))
		f.source.setFresh(false)
		f.source.setSilent(4 * time.Second)
		start := time.Now()
		r := send(f.request("POST", "/order/", platform.HeaderDeadline, "60000"))
		Expect(r.status).To(Equal(503))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("keeps a part of its caller's time for the rest", func() {
		f := newFleet("plain", answer(200, ""))
		f.source.setFresh(false)
		start := time.Now()
		Expect(send(f.request("POST", "/order/", platform.HeaderDeadline, "400")).status).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
	})

	// Guards against running requests whose callers disconnected while they waited.
	It("sends nothing for callers that went meanwhile", func() {
		f := newFleet("plain", answer(200, ""))
		f.source.setFresh(false)
		r := f.request("POST", "/order/")
		_, err := sendWithin(shortly(), r)
		Expect(err).To(HaveOccurred())
		Eventually(f.lines.String).Should(ContainSubstring("request_ended"), "the host sees that the caller has gone")
		f.source.setFresh(true)
		Consistently(f.arrivals, 200*time.Millisecond).Should(BeZero())
	})

	It("refuses a body that is longer than it takes without a limit", func() {
		f := newFleet("plain", answer(200, ""))
		f.source.setFresh(false)
		resp := f.raw("POST /order/ HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 1<<20+1))
		Expect(resp.StatusCode).To(Equal(503))
	})

	// Guards against routing by a target table that is still incomplete.
	It("lets callers wait for the targets that hold their model while its first board fills", func() {
		f := newFleetOf("models", true)
		f.addTarget("i-9", "other", answer(200, ""))
		Eventually(f.gateway.Ready).Should(Succeed())
		replies := sendLater(f.request("POST", "/once/", platform.HeaderModel, "m"))
		Consistently(replies, 100*time.Millisecond).ShouldNot(Receive())
		f.addTarget("i-1", "models", answer(200, "streamed"))
		var r reply
		Eventually(replies).Should(Receive(&r))
		Expect(r.body).To(Equal("streamed"))
	})

	It("refuses at once where a filled board has no target", func() {
		f := newFleet("models")
		r := send(f.request("POST", "/order/"))
		Expect(r.status).To(Equal(503))
	})
})
