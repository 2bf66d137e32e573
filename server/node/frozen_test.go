package node_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a leader that was frozen", func() {
	// A control process is stopped for longer than its lease and wakes. A caller's
	// goroutine runs before the loop has looked at the clock: it must not find
	// itself leading, or two control processes decide at once.
	It("does not lead when it wakes, before anything else has happened", func() {
		h := newHost(1)
		DeferCleanup(h.close)
		var now atomic.Int64
		clock := make(chan time.Time)
		c := h.config(nil)
		c.Members = append(c.Members, h.member)
		c.Now = func() time.Duration { return time.Duration(now.Load()) }
		c.Clock = clock
		h.start(c)
		tick := func() {
			now.Add(int64(testTick))
			clock <- time.Time{}
		}
		Eventually(func() bool { tick(); return h.node.Status().Leading }).WithTimeout(patience).Should(BeTrue())
		now.Add(int64(10 * testTick))
		Expect(h.node.Status().Leading).To(BeFalse())
		Eventually(func() bool { tick(); return h.node.Status().Leading }).WithTimeout(patience).Should(BeTrue())
	})
})
