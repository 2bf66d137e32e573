package agent_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/agent"
)

var _ = Describe("a target's answer with an invalid head", func() {
	ctx := context.Background()
	expectRejected := func(response string) {
		GinkgoHelper()
		target := agent.NewHTTPTarget(newFlood(response, "").url)
		for _, repeatable := range []bool{false, true} {
			_, err := target.Call(ctx, &agent.Call{Attempt: "a", Path: "/", Repeatable: repeatable})
			Expect(fault.Is(err, fault.TargetFailed)).To(BeTrue())
			Expect(fault.From(err).Ran).NotTo(Equal(fault.RanNo))
		}
		_, err := target.Status(ctx)
		Expect(fault.Is(err, fault.Unavailable)).To(BeTrue())
		Expect(fault.Is(target.Unload(ctx, agent.ModelOrder{Model: "m"}), fault.TargetFailed)).To(BeTrue())
	}

	// Guards against a status of no HTTP that is passed on to the entry host, or taken for the status of an order.
	DescribeTable("is no answer where HTTP has no such status", func(status string) {
		expectRejected("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}")
	},
		Entry("zero", "000"), Entry("below 100", "099"), Entry("a switch of protocols", "101"), Entry("the highest", "999"),
	)
})
