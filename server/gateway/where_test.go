package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
	"cowsliptiller/platform"
	"cowsliptiller/server/events"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// still is a gateway without background work, with a clock that the test moves.
type still struct {
	*gateway.Gateway
	source *source
	now    time.Time
	table  *rpc.WatchResponse
}

// newStill returns a gateway that knows n targets of the service "models". All hold model m.
func newStill(n int) *still {
	d := deploymentOf()
	d.Routes[2].LatencyMs, d.Routes[2].TimeoutMs = 300, 25_000 // of "stream"
	s := &still{now: time.Unix(1_000_000, 0), table: &rpc.WatchResponse{Version: 1, Whole: true, Epoch: 1, EntryHosts: 1}}
	s.source = &source{fresh: true, changed: make(chan struct{}), renewed: make(chan struct{})}
	s.source.current = &view.Snapshot{Revision: 7, Deployment: d, Routes: deployment.NewIndex(d), EntryHosts: entryHosts("e1")}
	now := func() time.Time { return s.now }
	log := hclog.NewNullLogger()
	s.Gateway = gateway.New(gateway.Config{
		Caller: &rpc.Caller{Host: "e1", Incarnation: "1", FailureDomain: "d"}, Source: s.source,
		Board: func() rpc.Board { return nil }, RegionOf: map[string]string{"d": "near", "d2": "far"},
		Ratio: 1, Reserve: 100, Window: 10 * time.Second, SendGrace: time.Second,
		Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Events: events.New(log, now), Log: log, Now: now,
		Bodies: intake.NewReader(bodyMemory, now),
	})
	for i := range n {
		s.table.Standings = append(s.table.Standings, &rpc.Standing{
			Instance: fmt.Sprintf("i-%d", i+1), Service: "models", Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: "d",
			Slots: 4, Agent: "agent", Reported: true, Models: []*rpc.HeldModel{{Name: "m"}},
		})
	}
	s.FollowView(s.source.current)
	s.ApplyTable(s.table)
	return s
}

// change applies a change to the rows of the table.
func (s *still) change(f func(i int, row *rpc.Standing)) {
	for i, row := range s.table.Standings {
		f(i, row)
	}
	s.table.Version++
	s.ApplyTable(s.table)
}

func streamOf(model string) *rpc.WhereRequest {
	return &rpc.WhereRequest{Host: host, Path: "/stream/x", Workspace: "w", Model: model, PromptTokens: 100, OutputTokens: 50, TokensKnown: true}
}

// verdictOn returns what an explanation says of a target.
func verdictOn(w *rpc.WhereResponse, instance string) *rpc.WhereCandidate {
	for _, c := range w.Candidates {
		if c.Instance == instance {
			return c
		}
	}
	return nil
}

// disturb changes the state as requests, answers and the board do.
func (s *still) disturb(t *rapid.T, n int) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
	instance := fmt.Sprintf("i-%d", rapid.IntRange(1, n).Draw(t, "target"))
	figure := rapid.IntRange(0, 6).Draw(t, "figure")
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0:
		s.change(func(i int, row *rpc.Standing) {
			row.Running, row.Queued = 4, uint32((figure*(i+1))%7)
			row.Models = []*rpc.HeldModel{{Name: "m"}, {Name: "rare"}}[:1+(figure+i)%2]
			row.Loading, row.LoadWaitMs = "", uint32(200*figure)
		})
	case 1:
		s.Observe(instance, 0, 0, time.Duration(100+50*figure)*time.Millisecond)
	case 2:
		s.Observe(instance, float64(figure%2), time.Duration(figure)*300*time.Millisecond, 0)
	case 3:
		r := streamOf("m")
		drawTokens(t, r)
		_, _ = s.DecideNext(r)
	}
}

// drawTokens draws prompts of which two or more are above a target's bound, and outputs that a slow target
// cannot generate before the deadline.
func drawTokens(t *rapid.T, r *rpc.WhereRequest) {
	r.PromptTokens = rapid.SampledFrom([]int64{100, 2000, 9000}).Draw(t, "prompt tokens")
	r.OutputTokens = rapid.SampledFrom([]int64{50, 10_000}).Draw(t, "output tokens")
}

// contend has the targets announce uneven speeds, and the gateway know how long prompts take.
func (s *still) contend() {
	s.change(func(i int, row *rpc.Standing) { row.SpeedPercent = []uint32{70, 170, 0}[i%3] })
	s.LearnPromptTime("models:m", promptTokens, 100*time.Millisecond)
}

// Guards against an explanation that is not what the next request gets, and against one that changes
// what later requests get. An operator asks while callers' requests go on.
func TestWhereIsWhatTheNextRequestGetsAndChangesNothing(t *testing.T) {
	outcomes, held := map[string]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "targets")
		s := newStill(n)
		if rapid.Bool().Draw(t, "contended") {
			s.contend()
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.disturb(t, n)
			r := streamOf(rapid.SampledFrom([]string{"m", "rare", "m/a", "unknown", ""}).Draw(t, "model"))
			drawTokens(t, r)
			r.Prefix = rapid.SampledFrom([]string{"", "p1", "p2"}).Draw(t, "prefix")
			before := s.State()
			shown, err := s.Where(r)
			if err != nil {
				t.Fatal(err)
			}
			if after := s.State(); after != before {
				t.Fatalf("state before:\n%s\nafter:\n%s", before, after)
			}
			outcomes[shown.Outcome]++
			if strings.Contains(strings.Join(shown.Notes, " "), "held back") {
				held++
			}
			checkShown(t, s, r, shown)
		}
	})
	for _, outcome := range []string{"send", "wait", "load", "refuse"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no explanation had outcome %s: %v", outcome, outcomes)
		}
	}
	if held == 0 {
		t.Error("no explanation was of a request that is held back")
	}
	t.Log(outcomes, held)
}

// checkShown compares an explanation with what the serving code decides in the same state.
func checkShown(t *rapid.T, s *still, r *rpc.WhereRequest, shown *rpc.WhereResponse) {
	before := s.State()
	target, err := s.DecideNext(r)
	if target != shown.Target {
		t.Fatalf("shown %v, sent to %q", shown, target)
	}
	if err == nil {
		if s.State() == before && shown.Outcome == "send" {
			t.Fatal("the state does not show that a request was sent")
		}
		return
	}
	f := fault.From(err)
	if shown.Outcome != "refuse" || shown.Kind != string(f.Kind) || shown.Reason != f.Message ||
		time.Duration(shown.RetryAfterMs)*time.Millisecond != f.RetryAfter.Truncate(time.Millisecond) {
		t.Fatalf("shown %v, refused with %v after %v", shown, err, f.RetryAfter)
	}
}

var _ = Describe("explaining where a request would go", func() {
	where := func(s *still, r *rpc.WhereRequest) *rpc.WhereResponse {
		GinkgoHelper()
		w, err := s.Where(r)
		Expect(err).NotTo(HaveOccurred())
		return w
	}

	It("tells the refusal of a request whose targets have long queues, and why each was rejected", func() {
		s := newStill(3)
		s.Observe("i-1", 0, 0, 400*time.Millisecond)
		s.change(func(i int, row *rpc.Standing) { row.Running, row.Queued = 4, uint32(8+i) })
		w := where(s, streamOf("m"))
		Expect(w.Outcome).To(Equal("refuse"))
		Expect(w.Kind).To(Equal("overloaded"))
		Expect(w.Reason).To(Equal("target i-1, the best one, has a queue of 800ms"))
		Expect(w.RetryAfterMs).To(Equal(uint32(800)))
		Expect(w.DeploymentVersion).To(Equal(uint64(1)))
		Expect(w.Revision).To(Equal(uint64(7)))
		Expect(verdictOn(w, "i-3").Verdict).To(Equal("rejected"))
		Expect(verdictOn(w, "i-3").Reasons).To(ConsistOf("its queue of 1s is longer than the request may wait"))
		Expect(verdictOn(w, "i-3").QueueWaitMs).To(Equal(uint32(1000)))
	})

	It("tells a wait in the queue of the target", func() {
		s := newStill(1)
		s.Observe("i-1", 0, 0, 200*time.Millisecond)
		s.change(func(_ int, row *rpc.Standing) { row.Running, row.Queued = 4, 2 })
		s.now = s.now.Add(300 * time.Millisecond)
		w := where(s, streamOf("m"))
		Expect(w.Outcome).To(Equal("wait"))
		Expect(w.Target).To(Equal("i-1"))
		Expect(w.WaitMs).To(Equal(uint32(100)))
		Expect(w.TableAgeMs).To(Equal(uint32(300)))
		Expect(verdictOn(w, "i-1").ReportAgeMs).To(Equal(uint32(300)))
	})

	It("tells which target would load a model, and where it is already held, loading or cached", func() {
		s := newStill(4)
		s.change(func(i int, row *rpc.Standing) {
			switch i {
			case 0:
				row.Loading, row.LoadWaitMs = "rare", 500
			case 1:
				row.AtHand = []string{"rare"}
			case 2:
				row.Agent, row.Reported = "", false
			}
		})
		w := where(s, streamOf("rare"))
		Expect(w.Outcome).To(Equal("load"))
		Expect(w.Target).To(Equal("i-1"))
		Expect(verdictOn(w, "i-1").ModelState).To(Equal("loading"))
		Expect(verdictOn(w, "i-2").ModelState).To(Equal("cached"))
		Expect(verdictOn(w, "i-3").Verdict).To(Equal("rejected"))
		Expect(verdictOn(w, "i-4").ModelState).To(Equal("absent"))
	})

	It("tells the reason for each target that takes no requests", func() {
		s := newStill(4)
		s.change(func(i int, row *rpc.Standing) {
			row.Draining = i == 0
			row.Unreachable = i == 1
		})
		s.Observe("i-3", 0, 2*time.Second, 0)
		s.Observe("i-4", 2, 0, 0)
		w := where(s, streamOf("m"))
		Expect(verdictOn(w, "i-1").Reasons).To(ContainElement("it leaves"))
		Expect(verdictOn(w, "i-2").Reasons).To(ContainElement("its host does not respond"))
		Expect(verdictOn(w, "i-3").Reasons).To(ContainElements("it requested a backoff", "in backoff for 2s"))
		Expect(verdictOn(w, "i-3").BackoffMs).To(Equal(uint32(2000)))
		Expect(w.Outcome).To(Equal("wait"))
		Expect(w.Target).To(Equal("i-4"))
		Expect(w.Notes).To(ContainElement(ContainSubstring("takes 2 requests a second: it waits for a send time")))
		Expect(verdictOn(w, "i-4").RateLimitPerS).To(Equal(2.0))
	})

	// Guards against queue estimates of another rank, and against a target that is shown as fit for a response
	// that it cannot end in time.
	It("tells the speed of targets, and which one is too slow for a long response", func() {
		s := newStill(2)
		s.contend()
		r := streamOf("m")
		r.OutputTokens = 15_000 // 4,500 are expected: 16 s at the faster target, 40 s at the other, 25 s are left
		w := where(s, r)
		Expect(w.Contended).To(BeTrue())
		Expect(w.Target).To(Equal("i-1"))
		Expect(verdictOn(w, "i-1").SpeedPercent).To(Equal(uint32(70)))
		Expect(verdictOn(w, "i-2").SpeedPercent).To(Equal(uint32(170)))
		Expect(verdictOn(w, "i-2").Verdict).To(Equal("rejected"))
		Expect(verdictOn(w, "i-2").Reasons).To(ContainElement(ContainSubstring("after its deadline")))
	})

	// Guards against a request that is shown as sent at once while its prompt waits at this host.
	It("tells that a prompt would be held back", func() {
		s := newStill(1)
		s.contend()
		s.source.current.Deployment.Routes[2].LatencyMs = longLatencyMs
		r := streamOf("m")
		r.PromptTokens = 9000
		Expect(where(s, r).Outcome).To(Equal("send"))
		_, err := s.DecideNext(r)
		Expect(err).NotTo(HaveOccurred())
		w := where(s, r)
		Expect(w.Outcome).To(Equal("wait"))
		Expect(w.Notes).To(ContainElement(ContainSubstring("would be held back for room for its prompt")))
		Expect(s.HeldPrompts()).To(BeZero())
	})

	It("tells that the workspace is over its burst, or has to wait for tokens", func() {
		s := newStill(1)
		r := streamOf("m")
		r.Workspace = "limited"
		w := where(s, r)
		Expect(w.Outcome).To(Equal("refuse"))
		Expect(w.Kind).To(Equal("rate_limited"))
		Expect(w.Reason).To(Equal("charge of 150 tokens exceeds the workspace's burst of 20"))
		Expect(verdictOn(w, "i-1").Verdict).To(Equal("possible"))
		r.PromptTokens, r.OutputTokens = 5, 5
		w = where(s, r)
		Expect(w.Outcome).To(Equal("wait"))
		Expect(w.Notes).To(ContainElement(ContainSubstring("has to ask for the 10 tokens")))
	})

	It("tells that the host's lease has lapsed", func() {
		s := newStill(1)
		s.source.setFresh(false)
		Expect(where(s, streamOf("m")).Outcome).To(Equal("wait"))
		s.source.setSilent(time.Minute)
		w := where(s, streamOf("m"))
		Expect(w.Outcome).To(Equal("refuse"))
		Expect(w.Kind).To(Equal("stale"))
	})

	It("gives a plain service's refusal", func() {
		w := where(newStill(1), &rpc.WhereRequest{Host: host, Path: "/lookup/x", Workspace: "w"})
		Expect(w.Outcome).To(Equal("refuse"))
		Expect(w.Reason).To(Equal(`no target of service "plain" takes requests`))
	})

	It("notes what it does not consider", func() {
		s := newStill(1)
		Expect(where(s, streamOf("unknown")).Notes).To(ContainElement(ContainSubstring("is not configured")))
		Expect(where(s, streamOf("")).Notes).To(ContainElement(ContainSubstring("names no model")))
	})

	DescribeTable("refuses bad input", func(kind fault.Kind, text string, change func(*rpc.WhereRequest)) {
		s := newStill(1)
		server := httptest.NewServer(s.ServeWhere())
		DeferCleanup(server.Close)
		r := streamOf("m")
		change(r)
		_, err := rpc.NewDecisionsProtobufClient(server.URL, http.DefaultClient).Where(context.Background(), r)
		f := fault.From(rpc.FromTwirp(err))
		Expect(f.Kind).To(Equal(kind))
		Expect(f.Message).To(ContainSubstring(text))
	},
		Entry("no host", fault.InvalidRequest, "host: none given", func(r *rpc.WhereRequest) { r.Host = "" }),
		Entry("no path", fault.InvalidRequest, "path:", func(r *rpc.WhereRequest) { r.Path = "" }),
		Entry("a relative path", fault.InvalidRequest, "path:", func(r *rpc.WhereRequest) { r.Path = "stream" }),
		Entry("an unknown route", fault.NotFound, "no route for host", func(r *rpc.WhereRequest) { r.Path = "/nowhere" }),
		Entry("no workspace", fault.InvalidRequest, "workspace: none given", func(r *rpc.WhereRequest) { r.Workspace = "" }),
		Entry("an unknown workspace", fault.NotFound, `no workspace "x"`, func(r *rpc.WhereRequest) { r.Workspace = "x" }),
		Entry("negative tokens", fault.InvalidRequest, "prompt tokens: -1", func(r *rpc.WhereRequest) { r.PromptTokens = -1 }),
		Entry("huge tokens", fault.InvalidRequest, "output tokens:", func(r *rpc.WhereRequest) { r.OutputTokens = 1 << 62 }),
		Entry("an adapter without a model", fault.InvalidRequest, "model:", func(r *rpc.WhereRequest) { r.Model = "/a" }),
		Entry("a list of prefixes", fault.InvalidRequest, "prefix:", func(r *rpc.WhereRequest) { r.Prefix = "a,b" }),
	)

	It("names the target at which the request then arrives", func() {
		f := newFleet("models", answer(200, ""), answer(200, ""))
		server := httptest.NewServer(f.gateway.ServeWhere())
		DeferCleanup(server.Close)
		client := rpc.NewDecisionsProtobufClient(server.URL, http.DefaultClient)
		w, err := client.Where(context.Background(), &rpc.WhereRequest{Host: host, Path: "/once/", Workspace: "w", Model: "m"})
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Outcome).To(Equal("send"))
		Expect(f.arrivals()).To(BeZero())
		Expect(send(f.request("POST", "/once/", platform.HeaderModel, "m")).status).To(Equal(200))
		Expect(f.arrivalsAt(w.Target)).To(Equal(1))
	})
})
