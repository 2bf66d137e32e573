package agent_test

import (
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/wire"
)

// Sync implements rpc.Control.
func (c *fakeControl) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return &rpc.SyncResponse{}, nil
}

var _ = Describe("an attempt whose body becomes whole after the agent began to shut down", func() {
	// Guards against a call that is handed to the target late in the grace period and is cut at its end.
	It("is refused as not run", func() {
		l := newLine()
		running := l.send("held", "{}")
		Eventually(l.running).WithTimeout(generous).Should(Equal(1))
		body, writer := io.Pipe()
		late := l.sendBody("", "late", body)
		_, err := io.WriteString(writer, "{")
		Expect(err).NotTo(HaveOccurred())
		drained := make(chan error, 1)
		go func() { drained <- l.agent.Drain(context.Background()) }()
		failure := func(frames <-chan *rpc.Frame) *fault.Error {
			var last *rpc.Frame
			Eventually(frames).WithTimeout(generous).Should(Receive(&last))
			return fault.From(wire.ErrorFromFailure(last.GetFailure()))
		}
		Eventually(func() fault.Kind { return failure(l.send("next", "{}")).Kind }).WithTimeout(generous).Should(Equal(fault.Leaving))
		_, err = io.WriteString(writer, "}")
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Close()).To(Succeed())
		refused := failure(late)
		Expect(refused.Kind).To(Equal(fault.Leaving))
		Expect(refused.Ran).To(Equal(fault.RanNo))
		Expect(l.target.called()).To(Equal([]string{"held"}))
		l.letGo()
		Eventually(running).WithTimeout(generous).Should(Receive())
		Eventually(drained).WithTimeout(generous).Should(Receive(Succeed()))
	})
})
