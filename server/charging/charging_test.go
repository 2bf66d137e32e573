package charging

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/workspace"
	"cowsliptiller/server/rpc"
)

func TestCharging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "charging")
}

// generous is an owner that grants what is needed.
type generous struct{ rpc.Control }

func (generous) Draw(_ context.Context, r *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	response := &rpc.DrawResponse{Epoch: 1, Sequence: r.Sequence}
	for _, item := range r.Items {
		response.Grants = append(response.Grants, &rpc.DrawGrant{Workspace: item.Workspace, Tokens: item.NeedTokens, ValidMs: 1000})
	}
	return response, nil
}

var _ = Describe("two requests with the same id", func() {
	var (
		rate  *Rate
		now   time.Time
		limit = workspace.Limit{Rate: 10, Burst: 20}
	)

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		rate = New(Options{
			Caller: &rpc.Caller{Host: "e1", Incarnation: "1"}, Control: generous{},
			Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
		})
		rate.Configure(1, func() map[string]workspace.Limit { return map[string]workspace.Limit{"w1": limit, "w2": limit} })
	})

	enqueue := func(ws string) *wait {
		GinkgoHelper()
		_, w, err := rate.begin(Request{Workspace: ws, Tokens: 5, Deadline: now.Add(time.Second)})
		Expect(err).NotTo(HaveOccurred())
		Expect(w).NotTo(BeNil())
		return w
	}
	draw := func() {
		for range 3 {
			if message, _ := rate.step(); message != nil {
				rate.send(context.Background(), message)
			}
			now = now.Add(workspace.ReplyTimeout)
		}
	}

	// Guards against a request that waits until its deadline because another one got its tokens.
	DescribeTable("both get their tokens", func(other string) {
		first, second := enqueue("w1"), enqueue(other)
		draw()
		for _, w := range []*wait{first, second} {
			var o workspace.Outcome
			Expect(w.outcome).To(Receive(&o))
			Expect(o.Err).NotTo(HaveOccurred())
		}
	},
		Entry("of one workspace", "w1"),
		Entry("of two workspaces", "w2"),
	)

	// Guards against the end of a caller's first try that cancels its second one.
	It("do not end each other's waits", func() {
		first, second := enqueue("w1"), enqueue("w1")
		rate.cancel(Request{Workspace: "w1"}, first)
		draw()
		Expect(second.outcome).To(Receive())
		Expect(first.outcome).NotTo(Receive())
	})
})
