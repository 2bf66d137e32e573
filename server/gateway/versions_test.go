package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/rpc"
)

// streams writes ten events, or those that follow the last one that the caller has. If it is
// breaking, it breaks off each stream after two.
func streams(breaking bool) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		last := 0
		if _, err := fmt.Sscan(r.Header.Get(platform.HeaderLastEvent), &last); err != nil {
			last = 0
		}
		to := 10
		if breaking {
			to = min(to, last+2)
		}
		stream(w, last+1, to, breaking)
	}
}

// countingPeer counts the batches of origins that another host is sent.
type countingPeer struct {
	rpc.Streams
	records *atomic.Int64
}

func (p countingPeer) Record(ctx context.Context, r *rpc.RecordOriginsRequest) (*rpc.RecordOriginsResponse, error) {
	defer p.records.Add(1)
	return p.Streams.Record(ctx, r)
}

// unreachablePeer is another host that does not respond while it is cut off.
type unreachablePeer struct {
	rpc.Streams
	cutOff *atomic.Bool
}

func (p unreachablePeer) Record(ctx context.Context, r *rpc.RecordOriginsRequest) (*rpc.RecordOriginsResponse, error) {
	if p.cutOff.Load() {
		return nil, errors.New("no route")
	}
	return p.Streams.Record(ctx, r)
}

// refuseLoads refuses to load a model.
func refuseLoads(context.Context, *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
	return &rpc.EnsureResponse{RetryAfterMs: 500, Reason: "no room"}, nil
}

// resumed returns a caller's request that resumes the stream that another request began.
func (f *fleet) resumed(id, began string, last int) *http.Request {
	r := f.request(http.MethodPost, "/stream/x", platform.HeaderModel, "m", platform.HeaderLastEvent, fmt.Sprint(last))
	r.Header.Set(platform.HeaderRequestID, id)
	if began != "" {
		r.Header.Set(platform.HeaderResumes, began)
	}
	return r
}

// begin sends a stream's first request, again if it is refused: on a busy machine a target's queue may
// be too long.
func (f *fleet) begin(id string) (got reply) {
	GinkgoHelper()
	Eventually(func() string {
		r := f.request(http.MethodPost, "/stream/x", platform.HeaderModel, "m")
		r.Header.Set(platform.HeaderRequestID, id)
		got = send(r)
		return got.summary()
	}, 10*time.Second).Should(HavePrefix("200"))
	return got
}

var _ = Describe("streams of several software versions", func() {
	// Guards against streams that continue in one answer at another software version.
	It("continue in the same answer only at the version that began them", func() {
		sometimes := func(w http.ResponseWriter, r *http.Request, n int) {
			streams(n%2 == 0 && r.Header.Get(platform.HeaderLastEvent) == "")(w, r, n)
		}
		f := newFleet("models", sometimes, sometimes, sometimes, sometimes)
		f.setVersion("i-2", "v2")
		f.setVersion("i-3", "v2")
		sameVersion := map[string]string{"i-1": "i-4", "i-2": "i-3", "i-3": "i-2", "i-4": "i-1"}
		const enough = 10 // resumed streams; at any of the three other targets each, all at the right one by chance once in 59049
		for resumed, i := 0, 0; resumed < enough; i++ {
			Expect(i).To(BeNumerically("<", 1000))
			f.forgetResumes()
			reply := f.begin(fmt.Sprint("b-", i))
			Expect(reply.err).NotTo(HaveOccurred())
			began := strings.TrimPrefix(reply.header.Get(platform.HeaderStamp), "stamp-of-")
			for target := range sameVersion {
				if len(f.resumes(target)) > 0 {
					Expect(target).To(Equal(sameVersion[began]), "began at %s", began)
					resumed++
				}
			}
		}
	})

	It("break off if no target of their version is left", func() {
		f := newFleet("models", streams(true), streams(false))
		f.wire.ensure = refuseLoads
		f.setVersion("i-2", "v2")
		for i := range 12 {
			reply := f.begin(fmt.Sprint("b-", i))
			if reply.header.Get(platform.HeaderStamp) == "stamp-of-i-1" {
				Expect(reply.err).To(HaveOccurred())
			}
		}
		Expect(f.resumes("i-2")).To(BeEmpty())
	})

	// Guards against streams that callers resume at another software version.
	It("are resumed by callers only at the version that began them", func() {
		f := newFleet("models", streams(true), streams(true), streams(true))
		f.wire.ensure = refuseLoads
		f.setVersion("i-2", "v2")
		for i := range 12 {
			began := fmt.Sprint("b-", i)
			first := f.begin(began).header.Get(platform.HeaderStamp)
			f.forgetResumes()
			send(f.resumed(fmt.Sprint("c-", i), began, 4))
			if first == "stamp-of-i-2" {
				Expect(f.resumes("i-1", "i-3")).To(BeEmpty())
			} else {
				Expect(f.resumes("i-2")).To(BeEmpty())
			}
		}
	})

	// Guards against a workspace whose request ids are those of another one's streams.
	It("are distinguished by their workspaces", func() {
		f := newFleet("models", streams(true), streams(true))
		f.wire.ensure = refuseLoads
		f.setVersion("i-2", "v2")
		f.begin("b-1")
		f.forgetResumes()
		r := f.resumed("c-1", "b-1", 4)
		r.Header.Set("Authorization", "Bearer "+limitedKey)
		Expect(send(r).status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.arrivals()).To(BeZero())
	})

	// Guards against streams that continue at any version because their first target is not known.
	It("are refused if the version that began them is not known", func() {
		f := newFleet("models", streams(false), streams(false))
		f.setVersion("i-2", "v2")
		f.begin("")
		f.forgetResumes()
		for _, began := range []string{"", "not-known"} {
			reply := send(f.resumed("c-"+began, began, 4))
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(f.arrivals()).To(BeZero())
	})

	// Guards against losing streams, or their versions, with the entry host that forwarded them.
	It("are resumed at their version at other entry hosts after theirs has ended", func() {
		f := newFleet("models", streams(true), streams(true), streams(false), streams(false))
		f.wire.ensure = refuseLoads
		f.setVersion("i-2", "v2")
		f.setVersion("i-4", "v2")
		hosts := f.addHosts("e2", "e3", "e4")
		const begun = 24
		versions := map[string]string{}
		for i := range begun {
			id := fmt.Sprint("b-", i)
			stamp := f.begin(id).header.Get(platform.HeaderStamp)
			versions[id] = map[string]string{"stamp-of-i-1": "v1", "stamp-of-i-2": "v2", "stamp-of-i-3": "v1", "stamp-of-i-4": "v2"}[stamp]
		}
		const wait = 10 * time.Second
		resumeAt := func(host, id string) reply {
			r := f.resumed("c-"+id, id, 4)
			r.URL.Host = host
			return send(r)
		}
		for i := range begun { // all are known elsewhere
			Eventually(func() string { return resumeAt(hosts[0], fmt.Sprint("b-", i)).summary() }, wait).Should(HavePrefix("200"))
		}
		Expect(f.gateway.Close()).To(Succeed())
		for i := range begun {
			id := fmt.Sprint("b-", i)
			f.forgetResumes()
			Eventually(func() string { return resumeAt(hosts[i%len(hosts)], id).summary() }, wait).Should(HavePrefix("200"))
			other := map[string][]string{"v1": {"i-2", "i-4"}, "v2": {"i-1", "i-3"}}[versions[id]]
			Expect(f.resumes(other...)).To(BeEmpty(), "stream %s of %s", id, versions[id])
		}
	})

	// Guards against origins that are lost after all other hosts did not respond for a while.
	It("are shared by a host that was cut off from all others", func() {
		var cutOff atomic.Bool
		var records atomic.Int64
		cutOff.Store(true)
		f := newFleetWith(func(c *gateway.Config) {
			peer := c.Peer
			c.Peer = func(address string) rpc.Streams {
				return unreachablePeer{countingPeer{peer(address), &records}, &cutOff}
			}
		}, "models", false, streams(true), streams(true))
		f.wire.ensure = refuseLoads
		f.setVersion("i-2", "v2")
		hosts := f.addHosts("e2", "e3")
		f.begin("b-1")
		Eventually(func() string { return f.lines.String() }, 10*time.Second).Should(And(
			MatchRegexp(`origins of streams not sent.*"to":"e2"`), MatchRegexp(`origins of streams not sent.*"to":"e3"`)))
		cutOff.Store(false)
		Eventually(records.Load, 5*time.Second).Should(BeNumerically(">", 0))
		Expect(f.gateway.Close()).To(Succeed())
		r := f.resumed("c-1", "b-1", 4)
		r.URL.Host = hosts[0]
		Expect(send(r).summary()).To(HavePrefix("200"))
	})

	// Guards against origins that are lost because they were recorded before a second version appeared, and
	// against sending them where they are not needed.
	It("are shared once a second version appears", func() {
		var offset, records atomic.Int64
		f := newFleetWith(func(c *gateway.Config) {
			c.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
			peer := c.Peer
			c.Peer = func(address string) rpc.Streams { return countingPeer{peer(address), &records} }
		}, "models", false, streams(true), streams(true))
		f.wire.ensure = refuseLoads
		hosts := f.addHosts("e2")
		for range 20 { // the table is observed for 40 s
			offset.Add(int64(2 * time.Second))
			f.wire.awaitPolls()
			f.wire.awaitPolls()
		}
		f.begin("b-1")
		Consistently(records.Load, 200*time.Millisecond).Should(BeZero())
		f.setVersion("i-2", "v2")
		Eventually(records.Load).Should(BeNumerically(">", 0))
		Eventually(func() int {
			r := f.resumed("c-1", "b-1", 4)
			r.URL.Host = hosts[0]
			return send(r).status
		}, 10*time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against refusing resumed streams of a service with one version while a host has just started.
	It("are resumed if the leader has seen one version for long", func() {
		f := newFleet("models", streams(false))
		Expect(send(f.resumed("c-1", "not-known", 4)).status).To(Equal(http.StatusOK))
		hosts := f.addHosts("e2")
		r := f.resumed("c-2", "not-known", 4)
		r.URL.Host = hosts[0]
		Expect(send(r).status).To(Equal(http.StatusOK))
	})

	// Guards against refusing resumed streams of a service with one version for as long as a leader is new.
	It("are resumed after an election if this host has seen one version for long", func() {
		f := newFleet("models", streams(false))
		f.wire.setKnown(100 * time.Millisecond)
		span := time.Duration(f.source.current.Deployment.Routes[2].TimeoutMs)*time.Millisecond + 5*time.Second
		Expect(f.source.current.Deployment.Routes[2].Name).To(Equal("stream"))
		Expect(send(f.resumed("c-1", "not-known", 4)).status).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() int { return send(f.resumed("c-2", "not-known", 4)).status }, span+2*time.Second).Should(Equal(http.StatusOK))
		f.wire.mu.Lock()
		f.wire.epoch = 2
		f.wire.mu.Unlock()
		f.wire.awaitPolls()
		Expect(send(f.resumed("c-3", "not-known", 4)).status).To(Equal(http.StatusOK))
	})

	// Guards against taking a leader that lacks targets for one that knows all.
	It("are refused while the leader does not know all targets", func() {
		f := newFleet("models", streams(false))
		f.wire.setKnown(time.Nanosecond)
		Consistently(func() int { return send(f.resumed("c-1", "not-known", 4)).status }, time.Second).Should(Equal(http.StatusServiceUnavailable))
		Expect(f.arrivals()).To(BeZero())
	})
})
