package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/bodybudget"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/intake"
)

var _ = Describe("a body that is not read to its end", func() {
	const size = 64 << 10 // the deployment's limit
	var f *fleet
	var bodies *intake.Reader
	var passed atomic.Int64

	open := func(fields, body string) net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp4", f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\r\nDeadline-Ms: 60000\r\n%s\r\n\r\n%s", host, fields, body)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	response := func(c net.Conn) *http.Response {
		GinkgoHelper()
		Expect(c.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	withKey := func(length int) string {
		return fmt.Sprintf("Authorization: Bearer %s\r\nContent-Length: %d", key, length)
	}

	BeforeEach(func() {
		passed.Store(0)
		now := func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
		bodies = intake.NewReader(10*size, now) // room for two bodies
		f = newFleetWith(func(c *gateway.Config) { c.Now, c.Bodies = now, bodies }, "plain", false, answer(200, "booked"))
	})

	// Guards against stalled bodies that keep others out, and against a false promise to their callers.
	It("gives way as not run to another caller's", func() {
		stalled := []net.Conn{open(withKey(size), strings.Repeat("x", size-1)), open(withKey(size), strings.Repeat("x", size-1))}
		Eventually(bodies.Held).Should(Equal(int64(2 * size)))
		passed.Store(int64(bodybudget.StallTime))
		Expect(response(open(withKey(size), strings.Repeat("x", size))).StatusCode).To(Equal(200))
		Eventually(bodies.Rejected).Should(Equal(uint64(1)))
		bodies.ShedStalled(1)
		for _, c := range stalled {
			r := response(c)
			Expect(r.StatusCode).To(Equal(503))
			Expect(r.Header.Get("Retry-After")).To(Equal("1.000"))
			Expect(r.Close).To(BeTrue())
		}
		Expect(f.arrivals()).To(Equal(1))
		Eventually(bodies.Held).Should(BeZero())
	})

	// Guards against reading what is rejected anyway.
	It("is refused by its announced length alone, also while the caller still sends", func() {
		r := response(open(withKey(1<<30), strings.Repeat("x", size/2)))
		Expect(r.StatusCode).To(Equal(413))
		Expect(r.Close).To(BeTrue())
		Expect(bodies.Held()).To(BeZero())
	})

	// Guards against a wait for the rest of a body that is not needed, and against the end of a connection
	// whose small body has arrived.
	It("does not hold up a refusal", func() {
		r := response(open("Authorization: Bearer stolen\r\nContent-Length: 100", "x"))
		Expect(r.StatusCode).To(Equal(401))
		Expect(r.Close).To(BeTrue())
		c := open("Authorization: Bearer stolen\r\nContent-Length: 3", "abc")
		r = response(c)
		Expect(r.StatusCode).To(Equal(401))
		Expect(r.Close).To(BeFalse())
		_, err := fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\r\n%s\r\n\r\nabc", host, withKey(3))
		Expect(err).NotTo(HaveOccurred())
		Expect(response(c).StatusCode).To(Equal(200))
	})
})
