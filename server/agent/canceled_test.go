package agent_test

import (
	"context"
	"net/http/httptrace"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/agent"
	"cowsliptiller/server/dial/dialtest"
)

var _ = Describe("a call that is canceled at a suspended target", func() {
	// Guards against running a call after its caller has left, when the target resumes.
	DescribeTable("does not reach it later", func(repeatable bool) {
		s, err := dialtest.NewSuspendedServer()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		ctx, cancel := context.WithCancel(context.Background())
		written := make(chan struct{})
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			WroteRequest: func(httptrace.WroteRequestInfo) { close(written) },
		})
		go func() {
			<-s.Began
			<-written
			cancel()
		}()
		call := &agent.Call{Attempt: "a", Path: "/", Repeatable: repeatable, Body: make([]byte, dialtest.LongBody)}
		_, err = agent.NewHTTPTarget("http://"+s.Address).Call(traced, call)
		Expect(err).To(HaveOccurred())
		Expect(s.Resume()).To(HaveOccurred())
	},
		Entry("on a connection of its own", false),
		Entry("on a pooled connection", true),
	)
})
