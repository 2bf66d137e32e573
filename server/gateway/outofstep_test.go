package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/rpc"
)

// outOfStepBoard is the board as a host has it that is out of step: polls have no answer, and no call has one while it is
// cut off.
type outOfStepBoard struct {
	rpc.Board
	outOfStep, cutOff *atomic.Bool
}

func (b outOfStepBoard) ServiceVersions(ctx context.Context, r *rpc.ServiceVersionsRequest) (*rpc.ServiceVersionsResponse, error) {
	if b.cutOff.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return b.Board.ServiceVersions(ctx, r)
}

func (b outOfStepBoard) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	if b.outOfStep.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return b.Board.Watch(ctx, r)
}

var _ = Describe("a host that is out of step", func() {
	var outOfStep, cutOff *atomic.Bool
	var f *fleet
	var others []string
	BeforeEach(func() {
		outOfStep, cutOff = &atomic.Bool{}, &atomic.Bool{}
		var board func() rpc.Board
		f = newFleetWith(func(c *gateway.Config) {
			board = c.Board
			c.Board = func() rpc.Board { return outOfStepBoard{board(), outOfStep, cutOff} }
		}, "models", false, streams(false))
		f.wire.ensure = refuseLoads
		f.config.Board = board // of the other hosts
		others = f.addHosts("e2", "e3")
	})

	// resumeAfterRelease has a target of a second version join while the first host is out of step, begins a stream
	// there through another host, calls end, and resumes the stream at the first host.
	resumeAfterRelease := func(end func()) reply {
		GinkgoHelper()
		span := time.Duration(f.source.Current().Deployment.Routes[2].TimeoutMs) * time.Millisecond
		resumed := func(id, began string) reply { return send(f.resumed(id, began, 4)) }
		Eventually(func() int { return resumed("c-0", "not-known").status }, 3*span).Should(Equal(http.StatusOK))
		outOfStep.Store(true)
		f.addTarget("i-2", "models", streams(true))
		f.setModels("i-1")
		f.setVersion("i-2", "v2")
		f.wire.awaitPolls()
		Eventually(func() string {
			r := f.request(http.MethodPost, "/stream/x", platform.HeaderModel, "m", platform.HeaderRequestID, "b-1")
			r.URL.Host = others[0]
			return send(r).header.Get(platform.HeaderStamp)
		}).Should(Equal("stamp-of-i-2"))
		f.forgetResumes()
		end()
		return resumed("c-1", "b-1")
	}

	// Guards against resuming a stream at the only version in a host's table, which lacks the version that began it.
	DescribeTable("does not resume a stream at another version than the one that began it", func(end func()) {
		got := resumeAfterRelease(end)
		Expect(f.resumes("i-1")).To(BeEmpty())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	},
		Entry("at once", func() {}),
		Entry("if the target has ended meanwhile", func() {
			f.wire.mu.Lock()
			defer f.wire.mu.Unlock()
			f.wire.departed = f.wire.standings[1:]
			f.wire.standings = f.wire.standings[:1]
			f.wire.version++
		}),
		Entry("if the leader cannot be asked", func() { cutOff.Store(true) }),
	)
})
