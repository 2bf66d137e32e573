package deployment_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
)

func TestDeployment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deployment")
}

func route(host, prefix string) *coordpb.DeploymentRoute {
	return &coordpb.DeploymentRoute{
		Name: host + prefix, Host: host, Prefix: prefix, TimeoutMs: 1000, LatencyMs: 100,
		Services: []*coordpb.WeightedService{{Service: "s", Weight: 1}},
	}
}

func valid() *coordpb.Deployment {
	digest := deployment.DigestOf("key")
	return &coordpb.Deployment{
		Version:    3,
		Services:   []*coordpb.DeploymentService{{Name: "s"}, {Name: "t"}},
		Routes:     []*coordpb.DeploymentRoute{route("h.example", "/a/"), route("h.example", "/a/b/")},
		Workspaces: []*coordpb.DeploymentWorkspace{{Name: "w", KeyDigests: [][]byte{digest[:]}, Rate: 10, Burst: 20}},
	}
}

var _ = Describe("the check of a deployment", func() {
	It("accepts a valid one", func() { Expect(deployment.Check(valid())).To(Succeed()) })

	DescribeTable("rejects an invalid one", func(corrupt func(*coordpb.Deployment), message string) {
		d := valid()
		corrupt(d)
		err := deployment.Check(d)
		Expect(fault.Is(err, fault.InvalidRequest)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring(message))
	},
		Entry("no version", func(d *coordpb.Deployment) { d.Version = 0 }, "version"),
		Entry("an unknown service", func(d *coordpb.Deployment) { d.Routes[0].Services[0].Service = "x" }, "unknown service"),
		Entry("two routes with the same host and prefix", func(d *coordpb.Deployment) { d.Routes[1].Prefix = "/a/" }, "share host"),
		Entry("two routes with the same host in other case", func(d *coordpb.Deployment) {
			d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "H.example"
		}, "share host"),
		Entry("weights of 0", func(d *coordpb.Deployment) { d.Routes[0].Services[0].Weight = 0 }, "add up to 0"),
		Entry("a timeout of 0", func(d *coordpb.Deployment) { d.Routes[0].TimeoutMs = 0 }, "timeout"),
		Entry("a prefix without its slash", func(d *coordpb.Deployment) { d.Routes[0].Prefix = "/a" }, "slash"),
		Entry("a key of two workspaces", func(d *coordpb.Deployment) {
			d.Workspaces = append(d.Workspaces, &coordpb.DeploymentWorkspace{Name: "v", KeyDigests: d.Workspaces[0].KeyDigests})
		}, "share a key"),
		Entry("a service named twice", func(d *coordpb.Deployment) { d.Services[1].Name = "s" }, "twice"),
	)
})

var _ = Describe("the index of a deployment", func() {
	x := deployment.NewIndex(valid())

	It("finds the route with the longest prefix, byte for byte", func() {
		Expect(x.Route("H.EXAMPLE", "/a/b/c").Prefix).To(Equal("/a/b/"))
		Expect(x.Route("h.example", "/a/bc").Prefix).To(Equal("/a/"))
		Expect(x.Route("h.example", "/a/../a/b/")).To(HaveField("Prefix", "/a/"))
		Expect(x.Route("h.example", "/A/")).To(BeNil())
		Expect(x.Route("other.example", "/a/")).To(BeNil())
	})

	It("finds the workspace of a key, and reports which routes need a key", func() {
		Expect(x.WorkspaceFor("key").Name).To(Equal("w"))
		Expect(x.WorkspaceFor("other")).To(BeNil())
		Expect(x.NeedsKey(x.Route("h.example", "/a/"))).To(BeTrue())
		Expect(x.NeedsKey(&coordpb.DeploymentRoute{Anonymous: true})).To(BeFalse())
	})

	It("splits requests by weight, the same at every host", func() {
		r := route("h", "/a/")
		r.Services = []*coordpb.WeightedService{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}, {Service: "never", Weight: 0}}
		count := map[string]int{}
		for i := range 10000 {
			count[deployment.ServiceFor(r, fmt.Sprintf("%08x", i))]++
		}
		Expect(count["t"]).To(BeNumerically("~", 1000, 150))
		Expect(count).NotTo(HaveKey("never"))
	})

	It("returns how long a caller waits for an event", func() {
		r := route("h", "/a/")
		r.LatencyMs, r.PauseMs = 300, 300
		Expect(deployment.EventTimeout(r)).To(Equal(2400 * time.Millisecond))
		r.LatencyMs = 2500
		Expect(deployment.EventTimeout(r)).To(Equal(10 * time.Second))
	})
})

// Guards against pacing by the pause of a route that is not a stream, or of another service.
var _ = It("returns the tightest pause of the streams of a service", func() {
	stream := func(service string, pauseMs int64) *coordpb.DeploymentRoute {
		return &coordpb.DeploymentRoute{Streaming: true, PauseMs: pauseMs, Services: []*coordpb.WeightedService{{Service: service, Weight: 1}}}
	}
	plain := stream("s", 5)
	plain.Streaming = false
	x := deployment.NewIndex(&coordpb.Deployment{Routes: []*coordpb.DeploymentRoute{stream("s", 400), stream("s", 300), stream("s", 0), stream("t", 100), plain}})
	Expect(x.TightestPause("s")).To(Equal(300 * time.Millisecond))
	Expect(x.TightestPause("u")).To(BeZero())
})

var _ = Describe("the register", func() {
	// Guards against taking a stream that began under a longer time limit for one that cannot have lasted so long.
	It("keeps the longest time limit of each route while it has the route", func() {
		r := &deployment.Register{}
		adopt := func(version uint64, limits map[string]int64) []int64 {
			d := &coordpb.Deployment{Version: version}
			for _, prefix := range []string{"/a/", "/b/"} {
				if limits[prefix] > 0 {
					d.Routes = append(d.Routes, &coordpb.DeploymentRoute{Host: "h", Prefix: prefix, TimeoutMs: limits[prefix]})
				}
			}
			r.Adopt(&coordpb.AdoptDeployment{Deployment: d}, version)
			var longest []int64
			for _, route := range r.InForce().Routes {
				longest = append(longest, route.LongestTimeoutMs)
			}
			return longest
		}
		Expect(adopt(1, map[string]int64{"/a/": 12_000, "/b/": 3000})).To(Equal([]int64{12_000, 3000}))
		Expect(adopt(2, map[string]int64{"/a/": 4000, "/b/": 5000})).To(Equal([]int64{12_000, 5000}))
		m := &coordpb.StateSnapshot{}
		r.Export(m)
		*r = deployment.Import(m)
		Expect(adopt(3, map[string]int64{"/a/": 2000})).To(Equal([]int64{12_000}))
		Expect(adopt(4, map[string]int64{"/a/": 2000, "/b/": 1000})).To(Equal([]int64{12_000, 1000}))
	})

	adopt := func(version uint64, source string) *coordpb.AdoptDeployment {
		return &coordpb.AdoptDeployment{Deployment: &coordpb.Deployment{Version: version}, Source: []byte(source)}
	}

	// Guards against an older version in force after concurrent operators, lost
	// acknowledgements and retries in any order.
	It("keeps the highest version whatever the order", func() {
		r := &deployment.Register{}
		Expect(r.Adopt(adopt(7, "seven"), 1)).To(BeTrue())
		Expect(r.Adopt(adopt(5, "five"), 2)).To(BeFalse())
		Expect(r.Adopt(adopt(7, "other content"), 3)).To(BeFalse())
		Expect(r.Version()).To(Equal(uint64(7)))
		Expect(string(r.Source().Bytes)).To(Equal("seven"))
		Expect(r.ChangedSince(0)).NotTo(BeNil())
		Expect(r.ChangedSince(1)).To(BeNil())
	})

	It("survives a snapshot", func() {
		r := &deployment.Register{}
		r.Adopt(adopt(7, "seven"), 4)
		m := &coordpb.StateSnapshot{}
		r.Export(m)
		again := deployment.Import(m)
		Expect(again.Version()).To(Equal(uint64(7)))
		Expect(string(again.Source().Bytes)).To(Equal("seven"))
		Expect(again.ChangedSince(3)).NotTo(BeNil())
	})
})
