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

var start = time.Unix(1_000_000, 0)

// fleet is a configuration of models of 10 GiB and targets that hold two each,
// over three failure domains.
func fleet(models, targets int) *config.Configuration {
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

// world plays the log and the agents: it commits decisions and confirms them.
type world struct {
	planner  *placement.Planner
	config   *config.Configuration
	now      time.Time
	fencing  uint64
	replicas map[string]*coordpb.Replica
	standing map[string]*placement.Target
	reasons  map[string]placement.Reason
}

func newWorld(c *config.Configuration) *world {
	w := &world{planner: placement.New(placement.DefaultSettings()), config: c, now: start,
		replicas: map[string]*coordpb.Replica{}, standing: map[string]*placement.Target{}, reasons: map[string]placement.Reason{}}
	w.planner.Configure(c, w.now)
	for name := range c.Targets {
		w.standing[name] = &placement.Target{Name: name, Live: true}
	}
	w.setTargets()
	w.pass(time.Second) // a new planner takes the store's window as full
	return w
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) setTargets() {
	list := []placement.Target{}
	for _, t := range w.standing {
		list = append(list, *t)
	}
	w.planner.SetTargets(list, w.now)
}

// commit puts decisions into the log and shows the planner the result.
func (w *world) commit(list []placement.Decision) {
	for _, d := range list {
		key := d.Model + "@" + d.Target
		w.fencing++
		r := &coordpb.Replica{Model: d.Model, Target: d.Target, Fencing: w.fencing, State: coordpb.ReplicaState_REPLICA_STATE_LOAD}
		if !d.Load {
			r.State = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
		}
		w.replicas[key] = r
		w.reasons[key] = d.Reason
	}
	w.show()
}

func (w *world) show() {
	list := []*coordpb.Replica{}
	for _, r := range w.replicas {
		list = append(list, r)
	}
	w.planner.SetReplicas(list, w.now)
}

// settle ends all loads and unloads that are under way.
func (w *world) settle() {
	for key, r := range w.replicas {
		switch r.State {
		case coordpb.ReplicaState_REPLICA_STATE_LOAD:
			w.replicas[key] = &coordpb.Replica{Model: r.Model, Target: r.Target, Fencing: r.Fencing, State: coordpb.ReplicaState_REPLICA_STATE_READY}
		case coordpb.ReplicaState_REPLICA_STATE_UNLOAD:
			delete(w.replicas, key)
		}
	}
	w.show()
}

func (w *world) demand(host, model string, waiting int, deadline time.Duration) {
	w.planner.ObserveDemand(host, []placement.Demand{{Model: model, Waiting: waiting, EarliestDeadline: w.now.Add(deadline), Interactive: true}}, w.now)
}

// load brings models onto targets, one by one.
func (w *world) load(models ...string) {
	for _, m := range models {
		w.demand("loader", m, 1, time.Minute)
		w.pass(time.Second)
		w.commit(w.planner.Plan(w.now))
		w.pass(4 * time.Second)
		w.settle()
		w.demand("loader", m, 0, 0)
		w.planner.Plan(w.now)
	}
}

func loads(list []placement.Decision) (names []string) {
	for _, d := range list {
		if d.Load {
			names = append(names, d.Model)
		}
	}
	return names
}

func unloads(list []placement.Decision) (names []string) {
	for _, d := range list {
		if !d.Load {
			names = append(names, d.Model)
		}
	}
	return names
}

var _ = Describe("cold starts", func() {
	// Forty entry hosts get their first request for one model within one round.
	// If each asked for a load of its own, forty targets would draw on the store.
	It("plans one load for a burst of first requests at many entry hosts", func() {
		w := newWorld(fleet(3, 12))
		for i := range 40 {
			w.demand(fmt.Sprintf("entry%d", i), "m001", 3, 10*time.Second)
		}
		first := w.planner.Plan(w.now)
		Expect(loads(first)).To(Equal([]string{"m001"}))
		Expect(w.planner.Plan(w.now)).To(BeEmpty(), "before the log shows it")
		w.commit(first)
		w.pass(time.Second)
		Expect(w.planner.Plan(w.now)).To(BeEmpty(), "while it loads")
	})

	// Ten models are asked for at once; the driver at the gate has the least
	// time. Loaded in order of names, his model would come last and too late.
	It("loads in order of the earliest deadline, within the store's number and rate", func() {
		w := newWorld(fleet(10, 12))
		for i := range 10 {
			w.demand("entry", fmt.Sprintf("m%03d", i), 1, time.Duration(60-i)*time.Second)
		}
		Expect(loads(w.planner.Plan(w.now))).To(Equal([]string{"m009", "m008", "m007", "m006"}))
		w.pass(2 * time.Second)
		Expect(loads(w.planner.Plan(w.now))).To(BeEmpty(), "four are in flight")
	})

	// Deadlines that no load can meet any more come first in plain order of
	// deadline; each late load then makes the next one late as well.
	It("puts deadlines that can still be met before those that cannot, but starves none", func() {
		w := newWorld(fleet(10, 12))
		for i := range 5 {
			w.demand("entry", fmt.Sprintf("m%03d", i), 1, time.Second)
		}
		w.demand("entry", "m009", 1, 6*time.Second)
		Expect(loads(w.planner.Plan(w.now))[0]).To(Equal("m009"))
		for range 12 {
			w.pass(time.Second)
			for i := range 10 {
				w.demand("entry", fmt.Sprintf("m%03d", i), 1, 6*time.Second)
			}
			w.demand("entry", "m004", 1, time.Second)
			w.commit(w.planner.Plan(w.now))
			if int(w.now.Sub(start).Seconds())%4 == 0 {
				w.settle()
			}
		}
		Expect(w.reasons).To(HaveKey(HavePrefix("m004@")))
	})

	It("goes first to a host that has the checkpoint", func() {
		c := fleet(2, 12)
		spec := c.Models["m001"]
		spec.Cached = []string{"t0007"}
		c.Models["m001"] = spec
		w := newWorld(c)
		w.demand("entry", "m001", 1, 10*time.Second)
		Expect(w.planner.Plan(w.now)).To(ConsistOf(placement.Decision{Model: "m001", Target: "t0007", Load: true, Reason: placement.ReasonDemand}))
	})

	// A target dies in the middle of a load. Its waiting callers get nothing
	// until the model is planned on another target, and the failed one must not
	// be asked again at once.
	It("plans a load that failed again elsewhere", func() {
		w := newWorld(fleet(1, 3))
		w.demand("entry", "m000", 1, 20*time.Second)
		first := w.planner.Plan(w.now)
		w.commit(first)
		w.pass(time.Second)
		delete(w.replicas, first[0].Model+"@"+first[0].Target)
		w.show()
		w.demand("entry", "m000", 1, 20*time.Second)
		again := w.planner.Plan(w.now)
		Expect(loads(again)).To(HaveLen(1))
		Expect(again[0].Target).NotTo(Equal(first[0].Target))
	})

	// A host falls silent with a model loaded. The model is needed elsewhere,
	// but the silent host may still hold it: its memory stays counted.
	It("replaces a replica on a silent target and still counts the old one", func() {
		w := newWorld(fleet(3, 2))
		w.load("m000")
		lost := placed(w, "m000")
		w.standing[lost].Live = false
		w.setTargets()
		w.demand("entry", "m000", 1, 20*time.Second)
		again := w.planner.Plan(w.now)
		Expect(loads(again)).To(Equal([]string{"m000"}))
		Expect(again[0].Target).NotTo(Equal(lost))
		w.commit(again)
		w.standing[lost].Live = true
		w.setTargets()
		w.settle()
		for range 4 {
			w.pass(time.Second)
			w.demand("entry", "m001", 1, 20*time.Second)
			w.demand("entry", "m002", 1, 20*time.Second)
			w.commit(w.planner.Plan(w.now))
		}
		Expect(placed(w, "m001")).NotTo(Equal(placed(w, "m002")), "each target has room for one more only")
	})
})

var _ = Describe("a leader's round", func() {
	// A new leader does not know what the old one started within the last second:
	// together they would overrun the store.
	It("starts nothing within the store's window of its own start", func() {
		c := fleet(1, 3)
		p := placement.New(placement.DefaultSettings())
		p.Configure(c, start)
		p.SetTargets([]placement.Target{{Name: "t0000", Live: true}}, start)
		ask := func(now time.Time) []placement.Decision {
			p.ObserveDemand("entry", []placement.Demand{{Model: "m000", Waiting: 1, EarliestDeadline: now.Add(time.Minute)}}, now)
			return p.Plan(now)
		}
		Expect(ask(start.Add(900 * time.Millisecond))).To(BeEmpty())
		Expect(ask(start.Add(time.Second))).To(HaveLen(1))
	})

	// The leader is lost while the fleet idles. Its successor knows of no request;
	// if it took all models for unused, every caller of the next minutes would meet
	// a cold start.
	It("keeps what it finds loaded until it knows better", func() {
		old := newWorld(fleet(4, 2))
		old.load("m000", "m001", "m002", "m003")
		w := newWorld(fleet(4, 2))
		w.replicas = old.replicas
		w.show()
		left := func(minutes int) int {
			for range minutes * 60 {
				w.pass(time.Second)
				w.commit(w.planner.Plan(w.now))
				w.settle()
			}
			return len(w.replicas)
		}
		Expect(left(4)).To(Equal(4))
		Expect(left(10)).To(BeZero())
	})

	// The log lost the leader's proposal. If the planner went on counting it, the
	// model's callers would wait for a load that nobody was told of.
	It("decides again what the log did not show in time", func() {
		w := newWorld(fleet(1, 3))
		w.demand("entry", "m000", 1, time.Minute)
		Expect(w.planner.Plan(w.now)).To(HaveLen(1))
		w.pass(6 * time.Second)
		w.demand("entry", "m000", 1, time.Minute)
		Expect(w.planner.Plan(w.now)).To(HaveLen(1))
	})

	// An engine hangs in a load. The model is asked for elsewhere, and the order
	// is taken back: two loads would otherwise end in two replicas.
	It("takes back a load that hangs, and loads elsewhere", func() {
		w := newWorld(fleet(1, 3))
		w.demand("entry", "m000", 1, time.Minute)
		first := w.planner.Plan(w.now)
		w.commit(first)
		w.pass(30 * time.Second)
		w.demand("entry", "m000", 1, time.Minute)
		out := w.planner.Plan(w.now)
		Expect(unloads(out)).To(Equal([]string{"m000"}))
		Expect(loads(out)).To(Equal([]string{"m000"}))
		Expect(out[1].Target).NotTo(Equal(first[0].Target))
	})

	// The list of checkpoints on hosts is an operator's answer and may be stale.
	It("lets loads leave the store's limits alone only once they were measured as local", func() {
		c := fleet(12, 12)
		for i := range 12 {
			name := fmt.Sprintf("m%03d", i)
			spec := c.Models[name]
			spec.Cached = []string{fmt.Sprintf("t%04d", i)}
			c.Models[name] = spec
		}
		w := newWorld(c)
		ask := func() []placement.Decision {
			for i := range 12 {
				w.demand("entry", fmt.Sprintf("m%03d", i), 1, time.Minute)
			}
			out := w.planner.Plan(w.now)
			w.commit(out)
			return out
		}
		Expect(ask()).To(HaveLen(4), "as from the store")
		w.pass(2 * time.Second) // half the time from the store
		w.settle()
		Expect(ask()).To(HaveLen(8))
	})
})

func placed(w *world, model string) string {
	for _, r := range w.replicas {
		if r.Model == model {
			return r.Target
		}
	}
	return ""
}

var _ = Describe("eviction", func() {
	It("evicts what is idle and asked for least, and keeps the room for the model that waits", func() {
		w := newWorld(fleet(4, 1))
		w.load("m000", "m001")
		for range 20 {
			w.planner.ObserveDemand("entry", []placement.Demand{{Model: "m000", Served: 5}}, w.now)
			w.pass(time.Second)
		}
		w.demand("entry", "m002", 1, 20*time.Second)
		out := w.planner.Plan(w.now)
		Expect(unloads(out)).To(Equal([]string{"m001"}))
		w.commit(out)
		w.pass(time.Second)
		w.demand("entry", "m002", 1, 20*time.Second)
		w.settle()
		Expect(loads(w.planner.Plan(w.now))).To(Equal([]string{"m002"}))
	})

	// Two models want the memory of a third. Without a minimum stay they evict
	// each other before either has served, and the store is busy for nothing.
	It("leaves a replica its minimum stay, and never takes one that a request needs", func() {
		c := fleet(4, 1)
		whole := c.Models["m002"]
		whole.Bytes = 24 * gib // needs the room of both others
		c.Models["m002"] = whole
		w := newWorld(c)
		w.load("m000", "m001")
		w.demand("entry", "m002", 1, time.Minute)
		Expect(unloads(w.planner.Plan(w.now))).To(BeEmpty(), "m001 became ready just now")
		w.pass(4 * time.Second)
		w.demand("entry", "m002", 1, time.Minute)
		Expect(unloads(w.planner.Plan(w.now))).To(Equal([]string{"m000", "m001"}))
		w = newWorld(fleet(4, 1))
		w.load("m000", "m001")
		w.pass(time.Minute)
		w.demand("entry", "m000", 1, time.Minute)
		w.demand("entry", "m002", 1, time.Minute)
		w.planner.ObserveReport(placement.Report{Target: "t0000", Running: 1, Models: []placement.ModelReport{{Model: "m001", Running: 1}}}, w.now)
		Expect(w.planner.Plan(w.now)).To(BeEmpty())
		f := w.planner.Forecast("m002", w.now)
		Expect(f.Possible).To(BeTrue(), "work that can wait is not turned away")
		Expect(f.ReadyIn).To(BeNumerically(">", 10*time.Second), "a person is told at once that it takes too long")
	})

	// All memory is in use and forty models wait. A caller who asks for a summary
	// within the minute is refused in its first second, though the store could load
	// all forty in 40 s: each model's wait for memory was counted as if it held the
	// store, one after the other.
	It("does not add up the waits for memory along the queue of loads", func() {
		w := newWorld(fleet(42, 1))
		w.load("m000", "m001")
		w.pass(time.Minute)
		w.planner.ObserveReport(placement.Report{Target: "t0000", Running: 8,
			Models: []placement.ModelReport{{Model: "m000", Running: 4}, {Model: "m001", Running: 4}}}, w.now)
		for i := range 40 {
			w.demand("entry", fmt.Sprintf("m%03d", i+2), 1, time.Minute)
		}
		Expect(w.planner.Plan(w.now)).To(BeEmpty())
		last := w.planner.Forecast("m041", w.now)
		Expect(last.Possible).To(BeTrue())
		Expect(last.ReadyIn).To(BeNumerically(">=", 40*time.Second), "ten loads of 4 s on each of four slots")
		Expect(last.ReadyIn).To(BeNumerically("<", time.Minute))
	})

	// More models are in use than memory holds. A single request for a rare model
	// evicts one that serves ten a second: the next ten requests wait for a load,
	// evict in their turn, and the fleet loads more than it serves.
	It("puts off an eviction that makes more requests wait than it helps, but not for ever", func() {
		w := newWorld(fleet(3, 1))
		w.load("m000", "m001")
		inUse := func() {
			for _, m := range []string{"m000", "m001"} {
				w.planner.ObserveDemand("entry", []placement.Demand{{Model: m, Served: 10}}, w.now)
			}
		}
		for range 30 {
			w.pass(time.Second)
			inUse()
		}
		for range 4 {
			w.demand("entry", "m002", 1, time.Minute)
			Expect(w.planner.Plan(w.now)).To(BeEmpty())
			w.pass(time.Second)
			inUse()
		}
		w.pass(time.Second)
		w.demand("entry", "m002", 1, time.Minute)
		Expect(unloads(w.planner.Plan(w.now))).To(HaveLen(1))
	})

	It("forecasts as impossible what no target can ever hold", func() {
		c := fleet(1, 2)
		spec := c.Models["m000"]
		spec.Bytes = 25 * gib
		c.Models["m000"] = spec
		w := newWorld(c)
		w.demand("entry", "m000", 1, time.Minute)
		Expect(w.planner.Plan(w.now)).To(BeEmpty())
		Expect(w.planner.Forecast("m000", w.now).Possible).To(BeFalse())
		Expect(w.planner.Forecast("unknown", w.now).Possible).To(BeFalse())
	})

	// Memory is full of idle models while one model's target stays full: its
	// callers wait although the fleet idles.
	It("makes room for a model that stays busy", func() {
		w := newWorld(fleet(4, 2))
		w.load("m000", "m001", "m002", "m003")
		w.pass(time.Minute)
		hot := placed(w, "m003")
		var out []placement.Decision
		for range 8 {
			w.pass(time.Second)
			w.planner.ObserveReport(placement.Report{Target: hot, Running: 8, Models: []placement.ModelReport{{Model: "m003", Running: 8}}}, w.now)
			round := w.planner.Plan(w.now)
			w.commit(round)
			w.settle()
			out = append(out, round...)
		}
		Expect(loads(out)).To(ContainElement("m003"))
	})
})

var _ = Describe("the number of replicas", func() {
	busy := func(w *world, seconds int) []placement.Decision {
		var out []placement.Decision
		for range seconds {
			w.pass(time.Second)
			for _, r := range w.replicas {
				w.planner.ObserveReport(placement.Report{Target: r.Target, Running: 8, Models: []placement.ModelReport{{Model: r.Model, Running: 8}}}, w.now)
			}
			round := w.planner.Plan(w.now)
			w.commit(round)
			out = append(out, round...)
		}
		return out
	}

	// A short peak is over before a second replica is loaded: it would only idle.
	It("grows under sustained load only, into another failure domain", func() {
		w := newWorld(fleet(1, 6))
		w.load("m000")
		first := w.config.Targets[placed(w, "m000")].FailureDomain
		Expect(busy(w, 4)).To(BeEmpty())
		out := busy(w, 4)
		Expect(loads(out)).To(Equal([]string{"m000"}))
		Expect(w.config.Targets[out[0].Target].FailureDomain).NotTo(Equal(first))
	})

	It("unloads what is worth less than the accelerator it holds, a few a round", func() {
		w := newWorld(fleet(12, 12))
		for i := range 12 {
			w.load(fmt.Sprintf("m%03d", i))
		}
		total := 0
		for range 3600 {
			w.pass(time.Second)
			out := w.planner.Plan(w.now)
			Expect(len(out)).To(BeNumerically("<=", 4))
			total += len(out)
			w.commit(out)
			w.settle()
		}
		Expect(w.replicas).To(BeEmpty())
		Expect(total).To(BeNumerically("<=", 12))
	})

	// Summaries are drawn up every half hour. Loaded on demand, the first
	// caller of each session waits for a cold start.
	It("loads ahead of a measured pattern, and not of a random one", func() {
		Expect(aheadLoads([]int{1800, 1800, 1800, 1800, 1800, 1800})).To(BeNumerically(">", 0))
		Expect(aheadLoads([]int{1800, 300, 4500, 120, 2700, 900})).To(BeZero())
	})
})

// aheadLoads plays sessions with the given gaps in seconds and counts loads ahead.
func aheadLoads(gaps []int) int {
	w := newWorld(fleet(2, 3))
	ahead := 0
	for _, gap := range gaps {
		w.demand("entry", "m000", 1, 20*time.Second)
		for s := range gap {
			out := w.planner.Plan(w.now)
			for _, d := range out {
				if d.Reason == placement.ReasonPreload {
					ahead++
				}
			}
			w.commit(out)
			w.pass(time.Second)
			if s%6 == 5 {
				w.settle()
			}
			if s == 5 {
				w.planner.ObserveDemand("entry", []placement.Demand{{Model: "m000", Served: 1}}, w.now)
			}
		}
	}
	return ahead
}
