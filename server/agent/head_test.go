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

	// Guards against an answer with another body than the target's.
	DescribeTable("is no answer where the name of a field is no token", func(field string) {
		expectRejected("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n{}")
		expectRejected("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	},
		Entry("a blank inside", "X Odd: v"), Entry("a blank behind a length", "Content-Length : 2"),
		Entry("a blank behind an encoding", "Transfer-Encoding : chunked"), Entry("a control byte", "X\x01Odd: v"),
	)
})
