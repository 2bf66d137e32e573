package gateway_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/deployment"
	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
)

// Guards against running a call, or loading its model, in a region that its route or its
// workspace does not allow, also after a failed attempt in an allowed one.
var _ = Describe("allowed regions", func() {
	// fleetOfTwo has target i-1 in region near and i-2 in region far.
	fleetOfTwo := func(service string, route, workspace []string, handle ...targetHandler) *fleet {
		f := newFleet(service, handle...)
		f.wire.mu.Lock()
		f.wire.version++
		f.wire.standings[1].FailureDomain = "d2"
		f.wire.mu.Unlock()
		f.wire.awaitPolls()
		f.source.mu.Lock()
		defer f.source.mu.Unlock()
		d := deploymentOf()
		for _, r := range d.Routes {
			r.AllowedRegions = route
		}
		d.Workspaces[0].AllowedRegions = workspace
		s := *f.source.current
		s.Deployment, s.Routes = d, deployment.NewIndex(d)
		f.source.current = &s
		return f
	}
	ranAt := func(f *fleet, instance string) int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.ran[instance])
	}

	DescribeTable("bind", func(route, workspace []string, near, far bool) {
		f := fleetOfTwo("plain", route, workspace, answer(200, "x"), answer(200, "x"))
		for range 40 {
			r := send(f.request("GET", "/lookup/"))
			if near || far {
				Expect(r.status).To(Equal(200))
				continue
			}
			Expect(r.status).To(Equal(503))
			Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(ranAt(f, "i-1") > 0).To(Equal(near))
		Expect(ranAt(f, "i-2") > 0).To(Equal(far))
	},
		Entry("by the route", []string{"far"}, nil, false, true),
		Entry("by the workspace", nil, []string{"near"}, true, false),
		Entry("by both", []string{"near", "far"}, []string{"far"}, false, true),
		Entry("without a common one", []string{"near"}, []string{"far"}, false, false),
		Entry("of which none is known", []string{"elsewhere"}, nil, false, false),
	)

	It("do not bind where none is named", func() {
		f := fleetOfTwo("plain", nil, nil, notRun, answer(200, "x"))
		Expect(send(f.request("GET", "/lookup/")).status).To(Equal(200))
	})

	It("bind a retry too", func() {
		f := fleetOfTwo("plain", []string{"near"}, nil, notRun, answer(200, "x"))
		Expect(send(f.request("GET", "/lookup/")).status).To(Equal(503))
		Expect(ranAt(f, "i-2")).To(BeZero())
	})

	It("bind the targets that load a model", func() {
		f := fleetOfTwo("models", []string{"far"}, nil, answer(200, "x"), func(w http.ResponseWriter, _ *http.Request, _ int) { stream(w, 1, 1, false) })
		asked := make(chan string, 10)
		f.wire.ensure = func(_ context.Context, r *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			asked <- r.Instance
			return &rpc.EnsureResponse{Held: true}, nil
		}
		Expect(send(f.request("POST", "/once/", platform.HeaderModel, "rare")).status).To(Equal(200))
		Expect(asked).To(Receive(Equal("i-2")))
		Expect(ranAt(f, "i-1")).To(BeZero())
	})
})
