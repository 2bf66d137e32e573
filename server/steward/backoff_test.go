package steward_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

var _ = Describe("a target that requests a backoff of its agent", func() {
	// Guards against reports and orders to a target in backoff, and against letting callers wait
	// for it.
	It("gets no calls until that has ended, and its callers are refused at once", func() {
		e := &engine{id: "i-1", models: map[string][]string{}, backoff: "1"}
		s, board := start(e)
		resp, err := s.Ensure(context.Background(), &rpc.EnsureRequest{Instance: "i-1", Model: "m", WaitMs: 20_000})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Held).To(BeFalse())
		before := 0
		e.change(func() { before, e.backoff = e.calls, "" })
		_, err = s.Ensure(context.Background(), &rpc.EnsureRequest{Instance: "i-1", Model: "m", WaitMs: 20_000})
		f := fault.From(rpc.FromTwirp(err))
		Expect(f.Kind).To(Equal(fault.Overloaded))
		Expect(f.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
		calls := func() (n int) { e.change(func() { n = e.calls }); return n }
		Consistently(calls, f.RetryAfter-200*time.Millisecond).Should(Equal(before))
		Eventually(func() bool {
			resp, err := s.Ensure(context.Background(), &rpc.EnsureRequest{Instance: "i-1", Model: "m", WaitMs: 20_000})
			return err == nil && resp.Held
		}, 5*time.Second).Should(BeTrue())
		Expect(board.instance()).To(Equal("i-1"))
	})
})
