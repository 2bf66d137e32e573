package daemon

import (
	"context"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

var _ = Describe("the client of an agent for its target and the platform, at an invalid head", func() {
	ctx := context.Background()
	calls := map[string]func(*platform.Target, *platform.List) error{
		"a report":       func(t *platform.Target, _ *platform.List) error { _, err := t.Report(ctx); return err },
		"a health check": func(t *platform.Target, _ *platform.List) error { _, err := t.Identify(ctx, "/healthz"); return err },
		"an order":       func(t *platform.Target, _ *platform.List) error { _, err := t.Send(ctx, platform.Order{}); return err },
		"the list":       func(_ *platform.Target, l *platform.List) error { _, _, err := l.Read(ctx); return err },
	}

	// Guards against an invalid response that is taken for a report, a list or the answer to an order.
	DescribeTable("fails", func(head string) {
		var sent atomic.Int64
		address := newFlood(head+"Content-Length: 2\r\nInstance: i-1\r\n\r\n{}", " ", &sent)
		for name, call := range calls {
			client := plainClient()
			err := call(&platform.Target{Address: address, Client: client}, &platform.List{Address: address, Client: client})
			Expect(err).To(HaveOccurred(), name)
		}
	},
		Entry("with status 000", "HTTP/1.1 000 X\r\n"),
		Entry("with a blank in the name of a field", "HTTP/1.1 200 OK\r\nX Odd: v\r\n"),
		Entry("after an interim status of no HTTP", "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n"),
	)
})
