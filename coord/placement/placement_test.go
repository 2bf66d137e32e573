package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const gib = int64(1) << 30

var startTime = time.Unix(1_000_000, 0)

// newConfig returns a configuration with models of 10 GiB and targets that each hold two of them,
// spread over three failure domains.
func newConfig(models, targets int) *config.Configuration {
	c := &config.Configuration{
		Store:   config.StoreLimits{LoadsPerSecond: 4, FullSpeedLoads: 4},
		Models:  map[string]config.ModelSpec{},
		Targets: map[string]config.TargetSpec{},
	}
	for i := range models {
		name := fmt.Sprintf("m%03d", i)
		c.Models[name] = config.ModelSpec{Name: name, Version: "1", Bytes: 10 * gib, LoadTime: 4 * time.Second}
	}
	for i := range targets {
		name := fmt.Sprintf("t%04d", i)
		c.Targets[name] = config.TargetSpec{Name: name, Kind: config.KindEngine, FailureDomain: fmt.Sprintf("d%d", i%3),
			MemoryBytes: 28 * gib, KVCacheBytes: 4 * gib, Concurrency: 8}
	}
	return c
}

// harness simulates the replicated log and the agents for a planner.
type harness struct {
	planner  *placement.Planner
	config   *config.Configuration
	now      time.Time
	fencing  uint64
	replicas map[string]*coordpb.Replica
	status   map[string]*placement.TargetStatus
	reasons  map[string]placement.Reason
}

func newHarness(c *config.Configuration) *harness {
	h := &harness{planner: placement.New(placement.DefaultSettings()), config: c, now: startTime,
		replicas: map[string]*coordpb.Replica{}, status: map[string]*placement.TargetStatus{}, reasons: map[string]placement.Reason{}}
	h.planner.Configure(c, h.now)
	for name := range c.Targets {
		h.status[name] = &placement.TargetStatus{Name: name, Live: true}
	}
	h.updateTargets()
	h.advance(time.Second) // a new planner assumes that the store's rate window is full
	return h
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

func (h *harness) updateTargets() {
	list := []placement.TargetStatus{}
	for _, t := range h.status {
		list = append(list, *t)
	}
	h.planner.SetTargets(list, h.now)
}

// commit applies decisions to the log and passes the resulting replicas to the planner.
func (h *harness) commit(list []placement.Decision) {
	for _, d := range list {
		key := d.Model + "@" + d.Target
		h.fencing++
		r := &coordpb.Replica{Model: d.Model, Target: d.Target, Fencing: h.fencing, State: coordpb.ReplicaState_REPLICA_STATE_LOAD}
		if !d.Load {
			r.State = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
		}
		h.replicas[key] = r
		h.reasons[key] = d.Reason
	}
	h.updateReplicas()
}

func (h *harness) updateReplicas() {
	list := []*coordpb.Replica{}
	for _, r := range h.replicas {
		list = append(list, r)
	}
	h.planner.SetReplicas(list, h.now)
}

// finishTransitions completes all loads and unloads in progress.
func (h *harness) finishTransitions() {
	for key, r := range h.replicas {
		switch r.State {
		case coordpb.ReplicaState_REPLICA_STATE_LOAD:
			h.replicas[key] = &coordpb.Replica{Model: r.Model, Target: r.Target, Fencing: r.Fencing, State: coordpb.ReplicaState_REPLICA_STATE_READY}
		case coordpb.ReplicaState_REPLICA_STATE_UNLOAD:
			delete(h.replicas, key)
		}
	}
	h.updateReplicas()
}

func (h *harness) demand(host, model string, waiting int, deadline time.Duration) {
	h.planner.ObserveDemand(host, []placement.Demand{{Model: model, Waiting: waiting, EarliestDeadline: h.now.Add(deadline), Interactive: true}}, h.now)
}

// loadModels loads the models one after the other, each by demand.
func (h *harness) loadModels(models ...string) {
	for _, m := range models {
		h.demand("loader", m, 1, time.Minute)
		h.advance(time.Second)
		h.commit(h.planner.Plan(h.now))
		h.advance(4 * time.Second)
		h.finishTransitions()
		h.demand("loader", m, 0, 0)
		h.planner.Plan(h.now)
	}
}

func loadedModels(list []placement.Decision) (names []string) {
	for _, d := range list {
		if d.Load {
			names = append(names, d.Model)
		}
	}
	return names
}

func unloadedModels(list []placement.Decision) (names []string) {
	for _, d := range list {
		if !d.Load {
			names = append(names, d.Model)
		}
	}
	return names
}

var _ = Describe("cold starts", func() {
	// Forty entry hosts get their first request for one model within one round. If each
	// caused a load of its own, forty targets would load from the store at once.
	It("plans one load for a burst of first requests at many entry hosts", func() {
		h := newHarness(newConfig(3, 12))
		for i := range 40 {
			h.demand(fmt.Sprintf("entry%d", i), "m001", 3, 10*time.Second)
		}
		first := h.planner.Plan(h.now)
		Expect(loadedModels(first)).To(Equal([]string{"m001"}))
		Expect(h.planner.Plan(h.now)).To(BeEmpty(), "before the log has committed it")
		h.commit(first)
		h.advance(time.Second)
		Expect(h.planner.Plan(h.now)).To(BeEmpty(), "while the model is loading")
	})

	// Ten models are requested at once, and the last one by name has the earliest
	// deadline. Loaded in order of name, it would miss its deadline.
	It("loads in order of the earliest deadline, within the store's concurrency and rate limits", func() {
		h := newHarness(newConfig(10, 12))
		for i := range 10 {
			h.demand("entry", fmt.Sprintf("m%03d", i), 1, time.Duration(60-i)*time.Second)
		}
		Expect(loadedModels(h.planner.Plan(h.now))).To(Equal([]string{"m009", "m008", "m007", "m006"}))
		h.advance(2 * time.Second)
		Expect(loadedModels(h.planner.Plan(h.now))).To(BeEmpty(), "four are in flight")
	})

	// Deadlines that can no longer be met are the earliest. In plain order of deadline
	// they would be loaded first, and each late load would make the next one late.
	It("loads models whose deadline can be met first, without starving the others", func() {
		h := newHarness(newConfig(10, 12))
		for i := range 5 {
			h.demand("entry", fmt.Sprintf("m%03d", i), 1, time.Second)
		}
		h.demand("entry", "m009", 1, 6*time.Second)
		Expect(loadedModels(h.planner.Plan(h.now))[0]).To(Equal("m009"))
		for range 12 {
			h.advance(time.Second)
			for i := range 10 {
				h.demand("entry", fmt.Sprintf("m%03d", i), 1, 6*time.Second)
			}
			h.demand("entry", "m004", 1, time.Second)
			h.commit(h.planner.Plan(h.now))
			if int(h.now.Sub(startTime).Seconds())%4 == 0 {
				h.finishTransitions()
			}
		}
		Expect(h.reasons).To(HaveKey(HavePrefix("m004@")))
	})

	It("prefers a host that has the checkpoint", func() {
		c := newConfig(2, 12)
		spec := c.Models["m001"]
		spec.Cached = []string{"t0007"}
		c.Models["m001"] = spec
		h := newHarness(c)
		h.demand("entry", "m001", 1, 10*time.Second)
		Expect(h.planner.Plan(h.now)).To(ConsistOf(placement.Decision{Model: "m001", Target: "t0007", Load: true, Reason: placement.ReasonDemand}))
	})

	// A target fails during a load. The model must be planned on another target for its
	// waiting callers, and not at once on the failed one again.
	It("retries a failed load on another target", func() {
		h := newHarness(newConfig(1, 3))
		h.demand("entry", "m000", 1, 20*time.Second)
		first := h.planner.Plan(h.now)
		h.commit(first)
		h.advance(time.Second)
		delete(h.replicas, first[0].Model+"@"+first[0].Target)
		h.updateReplicas()
		h.demand("entry", "m000", 1, 20*time.Second)
		again := h.planner.Plan(h.now)
		Expect(loadedModels(again)).To(HaveLen(1))
		Expect(again[0].Target).NotTo(Equal(first[0].Target))
	})

	// A host with a loaded model stops reporting. The model is needed elsewhere, but the
	// silent host may still hold it, so its memory must stay counted.
	It("replaces a replica on a silent target and still counts the memory of the old one", func() {
		h := newHarness(newConfig(3, 2))
		h.loadModels("m000")
		lost := targetOf(h, "m000")
		h.status[lost].Live = false
		h.updateTargets()
		h.demand("entry", "m000", 1, 20*time.Second)
		again := h.planner.Plan(h.now)
		Expect(loadedModels(again)).To(Equal([]string{"m000"}))
		Expect(again[0].Target).NotTo(Equal(lost))
		h.commit(again)
		h.status[lost].Live = true
		h.updateTargets()
		h.finishTransitions()
		for range 4 {
			h.advance(time.Second)
			h.demand("entry", "m001", 1, 20*time.Second)
			h.demand("entry", "m002", 1, 20*time.Second)
			h.commit(h.planner.Plan(h.now))
		}
		Expect(targetOf(h, "m001")).NotTo(Equal(targetOf(h, "m002")), "each target has memory for only one more")
	})
})

var _ = Describe("a planning round", func() {
	// A new leader does not have the old one's loads of the last second. The loads of both
	// together would exceed the store's rate.
	It("starts no load within the store's rate window after the planner's start", func() {
		c := newConfig(1, 3)
		p := placement.New(placement.DefaultSettings())
		p.Configure(c, startTime)
		p.SetTargets([]placement.TargetStatus{{Name: "t0000", Live: true}}, startTime)
		ask := func(now time.Time) []placement.Decision {
			p.ObserveDemand("entry", []placement.Demand{{Model: "m000", Waiting: 1, EarliestDeadline: now.Add(time.Minute)}}, now)
			return p.Plan(now)
		}
		Expect(ask(startTime.Add(900 * time.Millisecond))).To(BeEmpty())
		Expect(ask(startTime.Add(time.Second))).To(HaveLen(1))
	})

	// The leader fails while the fleet is idle. If its successor, which has no request
	// rates yet, unloaded all models as unused, the requests of the next minutes would all
	// meet cold starts.
	It("unloads no replica as idle before IdleUnloadGrace", func() {
		old := newHarness(newConfig(4, 2))
		old.loadModels("m000", "m001", "m002", "m003")
		h := newHarness(newConfig(4, 2))
		h.replicas = old.replicas
		h.updateReplicas()
		left := func(minutes int) int {
			for range minutes * 60 {
				h.advance(time.Second)
				h.commit(h.planner.Plan(h.now))
				h.finishTransitions()
			}
			return len(h.replicas)
		}
		Expect(left(4)).To(Equal(4))
		Expect(left(10)).To(BeZero())
	})

	// A proposal is lost before it is committed. If the planner kept counting it, the
	// model's callers would wait for a load that no agent was asked for.
	It("repeats a decision that the log did not commit in time", func() {
		h := newHarness(newConfig(1, 3))
		h.demand("entry", "m000", 1, time.Minute)
		Expect(h.planner.Plan(h.now)).To(HaveLen(1))
		h.advance(6 * time.Second)
		h.demand("entry", "m000", 1, time.Minute)
		Expect(h.planner.Plan(h.now)).To(HaveLen(1))
	})

	// An engine hangs during a load. The model is loaded elsewhere, and the hanging load is
	// cancelled, as it could otherwise complete later and leave two replicas.
	It("cancels a load that hangs and loads on another target", func() {
		h := newHarness(newConfig(1, 3))
		h.demand("entry", "m000", 1, time.Minute)
		first := h.planner.Plan(h.now)
		h.commit(first)
		h.advance(30 * time.Second)
		h.demand("entry", "m000", 1, time.Minute)
		out := h.planner.Plan(h.now)
		Expect(unloadedModels(out)).To(Equal([]string{"m000"}))
		Expect(loadedModels(out)).To(Equal([]string{"m000"}))
		Expect(out[1].Target).NotTo(Equal(first[0].Target))
	})

	// The list of cached checkpoints is provided by an operator and may be stale.
	It("exempts loads from the store's limits only once such loads were measured as local", func() {
		c := newConfig(12, 12)
		for i := range 12 {
			name := fmt.Sprintf("m%03d", i)
			spec := c.Models[name]
			spec.Cached = []string{fmt.Sprintf("t%04d", i)}
			c.Models[name] = spec
		}
		h := newHarness(c)
		ask := func() []placement.Decision {
			for i := range 12 {
				h.demand("entry", fmt.Sprintf("m%03d", i), 1, time.Minute)
			}
			out := h.planner.Plan(h.now)
			h.commit(out)
			return out
		}
		Expect(ask()).To(HaveLen(4), "limited like loads from the store")
		h.advance(2 * time.Second) // half the load time from the store
		h.finishTransitions()
		Expect(ask()).To(HaveLen(8))
	})
})

func targetOf(h *harness, model string) string {
	for _, r := range h.replicas {
		if r.Model == model {
			return r.Target
		}
	}
	return ""
}

var _ = Describe("eviction", func() {
	It("evicts the idle model with the fewest requests and reserves the memory for the waiting model", func() {
		h := newHarness(newConfig(4, 1))
		h.loadModels("m000", "m001")
		for range 20 {
			h.planner.ObserveDemand("entry", []placement.Demand{{Model: "m000", Served: 5}}, h.now)
			h.advance(time.Second)
		}
		h.demand("entry", "m002", 1, 20*time.Second)
		out := h.planner.Plan(h.now)
		Expect(unloadedModels(out)).To(Equal([]string{"m001"}))
		h.commit(out)
		h.advance(time.Second)
		h.demand("entry", "m002", 1, 20*time.Second)
		h.finishTransitions()
		Expect(loadedModels(h.planner.Plan(h.now))).To(Equal([]string{"m002"}))
	})

	// Two models need the memory of a third. Without MinResidency they would evict each other
	// before either has served a request, and keep the store busy without any effect.
	It("evicts no replica within MinResidency and none that a request needs", func() {
		c := newConfig(4, 1)
		large := c.Models["m002"]
		large.Bytes = 24 * gib // needs the memory of both others
		c.Models["m002"] = large
		h := newHarness(c)
		h.loadModels("m000", "m001")
		h.demand("entry", "m002", 1, time.Minute)
		Expect(unloadedModels(h.planner.Plan(h.now))).To(BeEmpty(), "m001 has just become ready")
		h.advance(4 * time.Second)
		h.demand("entry", "m002", 1, time.Minute)
		Expect(unloadedModels(h.planner.Plan(h.now))).To(Equal([]string{"m000", "m001"}))
		h = newHarness(newConfig(4, 1))
		h.loadModels("m000", "m001")
		h.advance(time.Minute)
		h.demand("entry", "m000", 1, time.Minute)
		h.demand("entry", "m002", 1, time.Minute)
		h.planner.ObserveReport(placement.Report{Target: "t0000", Running: 1, Models: []placement.ModelReport{{Model: "m001", Running: 1}}}, h.now)
		Expect(h.planner.Plan(h.now)).To(BeEmpty())
		f := h.planner.Forecast("m002", h.now)
		Expect(f.Possible).To(BeTrue(), "requests that can wait are not rejected")
		Expect(f.ReadyIn).To(BeNumerically(">", 10*time.Second), "interactive requests are rejected at once")
	})

	// All memory is in use and forty models wait. Requests with a deadline of a minute were
	// rejected in their first second, although the store could load all forty models in 40 s:
	// each model's wait for memory was counted as if it occupied the store.
	It("does not add up the waits for memory along the queue of loads", func() {
		h := newHarness(newConfig(42, 1))
		h.loadModels("m000", "m001")
		h.advance(time.Minute)
		h.planner.ObserveReport(placement.Report{Target: "t0000", Running: 8,
			Models: []placement.ModelReport{{Model: "m000", Running: 4}, {Model: "m001", Running: 4}}}, h.now)
		for i := range 40 {
			h.demand("entry", fmt.Sprintf("m%03d", i+2), 1, time.Minute)
		}
		Expect(h.planner.Plan(h.now)).To(BeEmpty())
		last := h.planner.Forecast("m041", h.now)
		Expect(last.Possible).To(BeTrue())
		Expect(last.ReadyIn).To(BeNumerically(">=", 40*time.Second), "ten loads of 4 s on each of four slots")
		Expect(last.ReadyIn).To(BeNumerically("<", time.Minute))
	})

	// More models are in use than fit into memory. If a single request for a rare model evicts
	// one that serves ten requests a second, the next ten wait for a load and cause evictions
	// in turn, and the fleet spends more time loading than serving.
	It("defers an eviction that makes more requests wait than it helps, up to MaxEvictionDelay", func() {
		h := newHarness(newConfig(3, 1))
		h.loadModels("m000", "m001")
		inUse := func() {
			for _, m := range []string{"m000", "m001"} {
				h.planner.ObserveDemand("entry", []placement.Demand{{Model: m, Served: 10}}, h.now)
			}
		}
		for range 30 {
			h.advance(time.Second)
			inUse()
		}
		for range 4 {
			h.demand("entry", "m002", 1, time.Minute)
			Expect(h.planner.Plan(h.now)).To(BeEmpty())
			h.advance(time.Second)
			inUse()
		}
		h.advance(time.Second)
		h.demand("entry", "m002", 1, time.Minute)
		Expect(unloadedModels(h.planner.Plan(h.now))).To(HaveLen(1))
	})

	It("forecasts a model that no target can ever hold as impossible", func() {
		c := newConfig(1, 2)
		spec := c.Models["m000"]
		spec.Bytes = 25 * gib
		c.Models["m000"] = spec
		h := newHarness(c)
		h.demand("entry", "m000", 1, time.Minute)
		Expect(h.planner.Plan(h.now)).To(BeEmpty())
		Expect(h.planner.Forecast("m000", h.now).Possible).To(BeFalse())
		Expect(h.planner.Forecast("unknown", h.now).Possible).To(BeFalse())
	})

	// Memory is full of idle models while the target of one model is fully utilized: its
	// callers wait although the fleet is mostly idle.
	It("evicts idle models to scale up a busy one", func() {
		h := newHarness(newConfig(4, 2))
		h.loadModels("m000", "m001", "m002", "m003")
		h.advance(time.Minute)
		hot := targetOf(h, "m003")
		var out []placement.Decision
		for range 8 {
			h.advance(time.Second)
			h.planner.ObserveReport(placement.Report{Target: hot, Running: 8, Models: []placement.ModelReport{{Model: "m003", Running: 8}}}, h.now)
			round := h.planner.Plan(h.now)
			h.commit(round)
			h.finishTransitions()
			out = append(out, round...)
		}
		Expect(loadedModels(out)).To(ContainElement("m003"))
	})
})

var _ = Describe("the number of replicas", func() {
	busy := func(h *harness, seconds int) []placement.Decision {
		var out []placement.Decision
		for range seconds {
			h.advance(time.Second)
			for _, r := range h.replicas {
				h.planner.ObserveReport(placement.Report{Target: r.Target, Running: 8, Models: []placement.ModelReport{{Model: r.Model, Running: 8}}}, h.now)
			}
			round := h.planner.Plan(h.now)
			h.commit(round)
			out = append(out, round...)
		}
		return out
	}

	// A short peak ends before a second replica is loaded, which would then only idle.
	It("scales up under sustained load only, into another failure domain", func() {
		h := newHarness(newConfig(1, 6))
		h.loadModels("m000")
		first := h.config.Targets[targetOf(h, "m000")].FailureDomain
		Expect(busy(h, 4)).To(BeEmpty())
		out := busy(h, 4)
		Expect(loadedModels(out)).To(Equal([]string{"m000"}))
		Expect(h.config.Targets[out[0].Target].FailureDomain).NotTo(Equal(first))
	})

	It("unloads idle replicas, a limited number per round", func() {
		h := newHarness(newConfig(12, 12))
		for i := range 12 {
			h.loadModels(fmt.Sprintf("m%03d", i))
		}
		total := 0
		for range 3600 {
			h.advance(time.Second)
			out := h.planner.Plan(h.now)
			Expect(len(out)).To(BeNumerically("<=", 4))
			total += len(out)
			h.commit(out)
			h.finishTransitions()
		}
		Expect(h.replicas).To(BeEmpty())
		Expect(total).To(BeNumerically("<=", 12))
	})

	// A batch of summaries runs every half hour. Without preloading, the first request of
	// each session waits for a cold start.
	It("preloads a model with regular sessions but not one with irregular sessions", func() {
		Expect(countPreloads([]int{1800, 1800, 1800, 1800, 1800, 1800})).To(BeNumerically(">", 0))
		Expect(countPreloads([]int{1800, 300, 4500, 120, 2700, 900})).To(BeZero())
	})
})

// countPreloads simulates sessions with the given gaps in seconds and counts the preloads.
func countPreloads(gaps []int) int {
	h := newHarness(newConfig(2, 3))
	ahead := 0
	for _, gap := range gaps {
		h.demand("entry", "m000", 1, 20*time.Second)
		for s := range gap {
			out := h.planner.Plan(h.now)
			for _, d := range out {
				if d.Reason == placement.ReasonPreload {
					ahead++
				}
			}
			h.commit(out)
			h.advance(time.Second)
			if s%6 == 5 {
				h.finishTransitions()
			}
			if s == 5 {
				h.planner.ObserveDemand("entry", []placement.Demand{{Model: "m000", Served: 1}}, h.now)
			}
		}
	}
	return ahead
}
