package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
)

// changeRoute puts a deployment in force in which a route is changed.
func (s *source) changeRoute(name string, change func(*coordpb.DeploymentRoute)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current
	next.Revision++
	next.Deployment = proto.CloneOf(s.current.Deployment)
	next.Deployment.Version++
	for _, r := range next.Deployment.Routes {
		if r.Name == name {
			change(r)
		}
	}
	next.Routes = deployment.NewIndex(next.Deployment)
	s.current = &next
	close(s.changed)
	s.changed = make(chan struct{})
}

// newFleetOfTwo has a target of the service "models" and one of "others". Both hold
// model m and have the same software version.
func newFleetOfTwo() *fleet {
	f := newFleet("models", streams(false))
	f.wire.ensure = refuseLoads
	f.addTarget("i-2", "others", streams(false))
	f.setModels("i-2", "m")
	f.setVersion("i-2", "v1")
	f.source.changeRoute("stream", func(*coordpb.DeploymentRoute) {})
	f.source.mu.Lock()
	d := f.source.current.Deployment
	others := proto.CloneOf(d.Services[1])
	others.Name = "others"
	d.Services = append(d.Services, others)
	f.source.current.Routes = deployment.NewIndex(d)
	f.source.mu.Unlock()
	f.wire.awaitPolls()
	return f
}

var _ = Describe("a stream whose route has changed", func() {
	services := func(names ...string) func(*coordpb.DeploymentRoute) {
		return func(r *coordpb.DeploymentRoute) {
			r.Services = nil
			for _, name := range names {
				r.Services = append(r.Services, &coordpb.WeightedService{Service: name, Weight: 1})
			}
		}
	}

	// Guards against streams that join the answers of two services whose versions have one number.
	It("does not go on at another service", func() {
		f := newFleetOfTwo()
		f.begin("b-1")
		f.source.changeRoute("stream", services("others"))
		Consistently(func() int { return send(f.resumed("c-1", "b-1", 4)).status }, time.Second).Should(Equal(http.StatusServiceUnavailable))
		Expect(f.resumes("i-2")).To(BeEmpty())
		Expect(send(f.request(http.MethodPost, "/stream/x", platform.HeaderModel, "m")).status).To(Equal(http.StatusOK), "a new stream")
	})

	// Guards against refusing a stream that may go on where it began.
	It("goes on at the service that began it while its route leads there", func() {
		f := newFleetOfTwo()
		f.begin("b-1")
		f.source.changeRoute("stream", services("others", "models"))
		for i := range 16 { // ids that select either service
			f.forgetResumes()
			Eventually(func() string { return send(f.resumed(fmt.Sprint("c-", i), "b-1", 4)).summary() }, 5*time.Second).Should(HavePrefix("200"))
			Expect(f.resumes("i-2")).To(BeEmpty())
		}
	})

	// Guards against streams that join two versions, the first of which left under the route's earlier time limit.
	It("may have lasted for the longest time limit that it has had", func() {
		var offset atomic.Int64
		f := newFleetWith(func(c *gateway.Config) {
			c.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
		}, "models", false, streams(false))
		f.wire.setKnown(time.Second)
		f.source.changeRoute("stream", func(r *coordpb.DeploymentRoute) { r.TimeoutMs, r.LongestTimeoutMs = 3000, 20_000 })
		pass := func(d time.Duration) {
			for passed := time.Duration(0); passed < d; passed += 2 * time.Second {
				offset.Add(int64(2 * time.Second))
				f.wire.awaitPolls()
			}
		}
		pass(10 * time.Second)
		Expect(send(f.resumed("c-1", "not-known", 4)).status).To(Equal(http.StatusServiceUnavailable))
		pass(18 * time.Second) // the leader's first table may be 5 s late at other hosts
		Eventually(func() int { return send(f.resumed("c-2", "not-known", 4)).status }, 5*time.Second).Should(Equal(http.StatusOK))
	})
})
