package residency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/residency"
)

func TestResidency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "residency")
}

// fakeTarget simulates a target with room for two models and two adapters. It carries out an
// order when the test calls complete.
type fakeTarget struct {
	keeper *residency.Scheduler
	report residency.Report
	now    time.Time
}

func newFakeTarget(holds ...string) *fakeTarget {
	t := &fakeTarget{keeper: residency.NewScheduler(), now: time.Unix(1000, 0)}
	models := map[string]residency.Model{}
	for _, name := range []string{"a", "b", "c", "d"} {
		models[name] = residency.Model{
			WeightsMb: 100, AdapterMb: 1,
			StoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond,
		}
	}
	t.keeper.Configure(residency.TargetConfig{CapacityMb: 210, AdapterSlots: 2, Models: models})
	t.report = residency.Report{Instance: "i-1", StartID: "i-1@1", Models: map[string][]string{}}
	for _, m := range holds {
		t.report.Models[m] = nil
	}
	t.observe()
	return t
}

func (t *fakeTarget) observe() []residency.WaitResult { return t.keeper.Observe(t.report, t.now) }

func (t *fakeTarget) addWaiter(id, model, adapter string, value float64) (residency.WaitResult, bool) {
	w := residency.Waiter{ID: id, Model: model, Adapter: adapter, Value: value, Deadline: t.now.Add(10 * time.Second)}
	return t.keeper.Add(w, t.now)
}

// takeOrder expects that an order is due and marks it as sent.
func (t *fakeTarget) takeOrder() residency.Order {
	GinkgoHelper()
	o, ok := t.keeper.Next(t.now)
	Expect(ok).To(BeTrue(), "an order is due")
	t.keeper.MarkSent(o)
	return o
}

// expectNoOrder expects that no order is due.
func (t *fakeTarget) expectNoOrder() {
	GinkgoHelper()
	o, ok := t.keeper.Next(t.now)
	Expect(ok).To(BeFalse(), "no order is due, got %+v", o)
}

// complete accepts and carries out an order, and returns the wait results of the next report.
func (t *fakeTarget) complete(o residency.Order) []residency.WaitResult {
	t.keeper.HandleResult(o, residency.Accepted, t.now)
	t.report.Sequence++
	switch {
	case o.Adapter != "" && o.Load:
		t.report.Models[o.Model] = append(t.report.Models[o.Model], o.Adapter)
	case o.Adapter != "":
		t.report.Models[o.Model] = nil
	case o.Load:
		t.report.Models[o.Model] = nil
	default:
		delete(t.report.Models, o.Model)
	}
	t.now = t.now.Add(200 * time.Millisecond)
	return t.observe()
}

var _ = Describe("loads and unloads of a target", func() {
	It("loads a requested model into free room and ends the wait of all requests for it", func() {
		t := newFakeTarget()
		_, resolved := t.addWaiter("1", "a", "", 1)
		Expect(resolved).To(BeFalse())
		t.addWaiter("2", "a", "", 1)
		o := t.takeOrder()
		Expect(o).To(Equal(residency.Order{Load: true, Model: "a", Instance: "i-1", FromStore: true, For: "a"}))
		Expect(t.complete(o)).To(ConsistOf(residency.WaitResult{ID: "1", Held: true}, residency.WaitResult{ID: "2", Held: true}))
		t.expectNoOrder()
	})

	It("answers at once for a held model, and refuses one that is not configured", func() {
		t := newFakeTarget("a")
		v, resolved := t.addWaiter("1", "a", "", 1)
		Expect(resolved).To(BeTrue())
		Expect(v.Held).To(BeTrue())
		v, resolved = t.addWaiter("2", "nowhere", "", 1)
		Expect(resolved).To(BeTrue())
		Expect(v.Held).To(BeFalse())
	})

	// Guards against refusing a caller only after its wait: behind two loads from the store the
	// model cannot be ready within 10 s, so an immediate refusal lets the caller retry in time.
	It("refuses at once a request that would be ready too late, with the expected time", func() {
		t := newFakeTarget()
		t.addWaiter("1", "a", "", 5)
		t.addWaiter("2", "b", "", 5)
		v, resolved := t.addWaiter("3", "c", "", 1)
		Expect(resolved).To(BeTrue())
		Expect(v.Held).To(BeFalse())
		Expect(v.RetryAfter).To(BeNumerically(">", 10*time.Second))
	})

	// Guards against refusing a caller only after a wait of 10 s, because the store serves four
	// loads already and accepts no fifth.
	It("refuses at once a request that a busy store delays too long, with the expected time", func() {
		t := newFakeTarget()
		t.addWaiter("1", "a", "", 1)
		Expect(t.keeper.DelayStoreLoads(2*time.Second, t.now)).To(BeEmpty())
		v := t.keeper.DelayStoreLoads(5*time.Second, t.now)
		Expect(v).To(HaveLen(1))
		Expect(v[0]).To(And(HaveField("ID", "1"), HaveField("Held", false), HaveField("RetryAfter", 11*time.Second)))
		t.report.OnDisk = []string{"b"}
		t.observe()
		_, resolved := t.addWaiter("2", "b", "", 1)
		Expect(resolved).To(BeFalse(), "a model on the target's disk needs no load from the store")
	})

	It("evicts the model with the least demand in the fleet", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"a": {ValuePerSecond: 5, Copies: 1}, "b": {ValuePerSecond: 0.1, Copies: 1}})
		t.addWaiter("1", "c", "", 1)
		o := t.takeOrder()
		Expect(o.Load).To(BeFalse())
		Expect(o.Model).To(Equal("b"))
	})

	// Guards against evicting a busy model for one request for a rarely used model, which would
	// move hundreds of requests to other targets or cause another load from the store.
	It("keeps the only copies of busy models when a single request needs another model", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"a": {ValuePerSecond: 20, Copies: 1}, "b": {ValuePerSecond: 20, Copies: 1}})
		t.addWaiter("1", "c", "", 1)
		t.expectNoOrder()
	})

	It("evicts a copy of a busy model that many targets hold", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"a": {ValuePerSecond: 20, Copies: 9}, "b": {ValuePerSecond: 20, Copies: 1}})
		t.addWaiter("1", "c", "", 1)
		Expect(t.takeOrder().Model).To(Equal("a"))
	})

	It("keeps a model that has just been loaded for the requests that waited for it", func() {
		t := newFakeTarget("b")
		t.addWaiter("1", "a", "", 1)
		t.complete(t.takeOrder())
		t.keeper.SetDemand(map[string]residency.Demand{"b": {ValuePerSecond: 100, Copies: 1}})
		t.addWaiter("2", "c", "", 50)
		t.expectNoOrder()
		t.now = t.now.Add(2 * time.Second)
		t.observe()
		Expect(t.takeOrder()).To(HaveField("Model", "a"))
	})

	// Guards against orders on adapters during the load of a model. The target refused each of
	// them, ten per second, for the whole load.
	It("gives no order while the target is busy with one", func() {
		t := newFakeTarget("a")
		t.report.Busy = true
		t.observe()
		t.addWaiter("1", "a", "x", 1)
		t.expectNoOrder()
		t.report.Busy = false
		t.observe()
		Expect(t.takeOrder()).To(HaveField("Adapter", "x"))
	})

	// Guards against repeating the unload of an adapter that a long stream uses, which the target
	// refuses, while another adapter is idle and could be unloaded.
	It("unloads another adapter when the target refuses to unload one that is in use", func() {
		t := newFakeTarget("a")
		t.report.Models["a"] = []string{"x", "y"}
		t.observe()
		t.addWaiter("1", "a", "z", 1)
		first := t.takeOrder()
		Expect(first.Load).To(BeFalse())
		t.keeper.HandleResult(first, residency.Refused, t.now)
		second := t.takeOrder()
		Expect(second.Load).To(BeFalse())
		Expect(second.Adapter).NotTo(Equal(first.Adapter))
	})

	// Guards against exceeding the target's memory, which crashes it: an order without an answer is
	// carried out seconds later, after another order that was based on the same state.
	It("repeats an unanswered order unchanged until the sequence advances", func() {
		t := newFakeTarget()
		t.addWaiter("1", "a", "", 1)
		o := t.takeOrder()
		t.keeper.HandleResult(o, residency.OutcomeUnknown, t.now)
		t.addWaiter("2", "b", "", 100)
		t.now = t.now.Add(150 * time.Millisecond)
		Expect(t.takeOrder()).To(Equal(o))
		t.keeper.HandleResult(o, residency.Refused, t.now)
		t.report.Sequence, t.report.Busy = 1, true
		t.observe()
		t.expectNoOrder()
	})

	It("discards the state from before a restart of the target", func() {
		t := newFakeTarget("a")
		t.addWaiter("1", "b", "", 1)
		t.keeper.HandleResult(t.takeOrder(), residency.OutcomeUnknown, t.now)
		t.report = residency.Report{Instance: "i-1", StartID: "i-1@2", Models: map[string][]string{}}
		t.observe()
		t.now = t.now.Add(150 * time.Millisecond)
		Expect(t.takeOrder()).To(Equal(residency.Order{Load: true, Model: "b", Instance: "i-1", FromStore: true, For: "b"}))
	})

	// Guards against an order that is carried out late by a later start of the target, whose sequence has
	// reached the order's, and exceeds its memory.
	It("gives the orders of each start of the target a higher fencing number", func() {
		t := newFakeTarget()
		t.report.StartedUnixMs = 1000
		t.observe()
		t.addWaiter("1", "a", "", 1)
		late := t.takeOrder()
		Expect(late.Fencing).To(BeEquivalentTo(1000))
		t.keeper.HandleResult(late, residency.OutcomeUnknown, t.now)
		t.report = residency.Report{Instance: "i-1", StartID: "i-1@2", StartedUnixMs: 2000, Models: map[string][]string{}}
		t.observe()
		t.now = t.now.Add(150 * time.Millisecond)
		Expect(t.takeOrder().Fencing).To(BeEquivalentTo(2000))
		t.report = residency.Report{Instance: "i-1", StartID: "i-1@3", StartedUnixMs: 1500, Models: map[string][]string{}}
		t.observe()
		t.now = t.now.Add(150 * time.Millisecond)
		Expect(t.takeOrder().Fencing).To(BeEquivalentTo(2000), "a clock that was set back")
	})

	It("fills an empty target with the model whose next copy has the highest value", func() {
		t := newFakeTarget()
		t.keeper.SetDemand(map[string]residency.Demand{"a": {ValuePerSecond: 30, Copies: 1}, "b": {ValuePerSecond: 60, Copies: 5}})
		Expect(t.takeOrder()).To(HaveField("Model", "a"))
	})

	It("never orders more than the target has room for", func() {
		t := newFakeTarget("a", "b")
		for i, m := range []string{"c", "d", "c", "d"} {
			t.addWaiter(string(rune('0'+i)), m, "", 100)
			for range 6 {
				o, ok := t.keeper.Next(t.now)
				if !ok {
					break
				}
				t.keeper.MarkSent(o)
				t.complete(o)
				Expect(len(t.report.Models)).To(BeNumerically("<=", 2))
			}
			t.now = t.now.Add(2 * time.Second)
		}
	})
})

var _ = Describe("additional copies of a busy model", func() {
	saturated := map[string]residency.Demand{
		"c": {ValuePerSecond: 40, Copies: 1, Saturated: 1}, "a": {ValuePerSecond: 0.2, Copies: 1}, "b": {ValuePerSecond: 3, Copies: 1},
	}

	// Guards against a queue that exceeds its callers' deadlines after demand moved to a model
	// that one target holds: no request waits for a second copy, since the model is held.
	It("are added by a target below capacity in place of a model with little demand", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(saturated)
		o := t.takeOrder()
		Expect(o).To(Equal(residency.Order{Model: "a", Instance: "i-1", FromStore: true, For: "c", AddsCopy: true}))
		t.complete(o)
		load := t.takeOrder()
		Expect(load).To(And(HaveField("Model", "c"), HaveField("AddsCopy", true), HaveField("Load", true)))
	})

	It("are not added while one of its copies has capacity, nor by a target that is saturated itself", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"c": {ValuePerSecond: 40, Copies: 2, Saturated: 1}})
		t.expectNoOrder()
		t.keeper.SetDemand(saturated)
		t.report.Saturated = true
		t.observe()
		t.expectNoOrder()
	})

	It("do not replace a model that is as busy", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{
			"c": {ValuePerSecond: 40, Copies: 1, Saturated: 1}, "a": {ValuePerSecond: 40, Copies: 1, Saturated: 1}, "b": {ValuePerSecond: 30, Copies: 1},
		})
		t.expectNoOrder()
	})
})

var _ = Describe("the limit on loads from the weight store", func() {
	now := time.Unix(1000, 0)
	rare := residency.LoadRequest{Model: "rare", FromStore: true, UncontendedTime: 6 * time.Second}

	// Guards against twice the permitted loads in one window, when a new leader permits a full
	// window right after its predecessor did.
	It("starts with a full window", func() {
		limiter := residency.NewLoadLimiter(2, 5*time.Second, now)
		ok, retryAfter := limiter.TryAcquire("h1", rare, now)
		Expect(ok).To(BeFalse())
		Expect(retryAfter).To(BeNumerically(">", 0))
		ok, _ = limiter.TryAcquire("h1", rare, now.Add(time.Second))
		Expect(ok).To(BeTrue())
	})

	It("never permits more loads in any window than the store allows", func() {
		limiter := residency.NewLoadLimiter(2, 5*time.Second, now)
		var begun []time.Time
		for i := range 400 {
			at := now.Add(time.Duration(i) * 50 * time.Millisecond)
			if ok, _ := limiter.TryAcquire("h", rare, at); ok {
				begun = append(begun, at)
				limiter.Release("h", rare.Model, at)
			}
		}
		Expect(len(begun)).To(BeNumerically(">=", 30))
		for i := range begun {
			n := 0
			for _, at := range begun[i:] {
				if at.Sub(begun[i]) < 5*time.Second {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 11))
		}
	})

	It("reserves a slot for a copy of a busy model, and drops permits that timed out", func() {
		limiter := residency.NewLoadLimiter(100, 5*time.Second, now)
		at := now.Add(6 * time.Second)
		for _, h := range []string{"h1", "h2"} {
			ok, _ := limiter.TryAcquire(h, rare, at)
			Expect(ok).To(BeTrue())
		}
		ok, retryAfter := limiter.TryAcquire("h3", rare, at)
		Expect(ok).To(BeFalse())
		Expect(retryAfter).To(Equal(6 * time.Second))
		ok, _ = limiter.TryAcquire("h4", residency.LoadRequest{Model: "busy", FromStore: true, AddsCopy: true, Copies: 1}, at)
		Expect(ok).To(BeTrue())
		ok, _ = limiter.TryAcquire("h5", rare, at.Add(time.Minute))
		Expect(ok).To(BeTrue())
	})

	It("lets the copies of a model at most double at a time", func() {
		limiter := residency.NewLoadLimiter(100, 5*time.Second, now)
		addCopy := residency.LoadRequest{Model: "busy", AddsCopy: true, Copies: 2}
		ok, _ := limiter.TryAcquire("h1", addCopy, now)
		Expect(ok).To(BeTrue())
		ok, _ = limiter.TryAcquire("h2", addCopy, now)
		Expect(ok).To(BeTrue())
		ok, _ = limiter.TryAcquire("h3", addCopy, now)
		Expect(ok).To(BeFalse())
	})

	// Guards against a load from the store that blocks other copies of a model for 6 s, while its
	// queue refuses callers. It was permitted because a target without the weights on its disk
	// asked just before those that have them.
	It("defers to targets that have the weights of a growing model on their disks", func() {
		limiter := residency.NewLoadLimiter(100, 5*time.Second, now)
		far := residency.LoadRequest{Model: "busy", FromStore: true, AddsCopy: true, Copies: 1, LocalCopies: 2}
		local := residency.LoadRequest{Model: "busy", AddsCopy: true, Copies: 1, LocalCopies: 2}
		ok, _ := limiter.TryAcquire("far", far, now)
		Expect(ok).To(BeFalse())
		ok, _ = limiter.TryAcquire("near", local, now.Add(150*time.Millisecond))
		Expect(ok).To(BeTrue())
	})

	// Guards against deferring forever to targets that have the weights but hold models of a higher
	// value, and so never load this one.
	It("permits a load from the store if no target with the weights loads the model", func() {
		limiter := residency.NewLoadLimiter(100, 5*time.Second, now)
		far := residency.LoadRequest{Model: "busy", FromStore: true, AddsCopy: true, Copies: 1, LocalCopies: 2}
		granted := time.Duration(-1)
		for at := time.Duration(0); at < 5*time.Second && granted < 0; at += 200 * time.Millisecond {
			if ok, _ := limiter.TryAcquire("far", far, now.Add(at)); ok {
				granted = at
			}
		}
		Expect(granted).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
	})

	// Guards against counting a returned, unused permit as a very fast load, which would raise the
	// limit too far, and against a late report that ends a load permitted since.
	It("ignores the duration of a load that did not begin, and a late report", func() {
		limiter := residency.NewLoadLimiter(100, 5*time.Second, now)
		at := now.Add(6 * time.Second)
		for i := range 6 {
			limiter.TryAcquire(fmt.Sprint("h", i%2), rare, at)
			limiter.Release(fmt.Sprint("h", i%2), rare.Model, at.Add(100*time.Millisecond))
		}
		for _, h := range []string{"h0", "h1"} {
			ok, _ := limiter.TryAcquire(h, rare, at.Add(time.Second))
			Expect(ok).To(BeTrue())
		}
		limiter.Release("h0", "another", at.Add(time.Second))
		ok, _ := limiter.TryAcquire("h2", rare, at.Add(time.Second))
		Expect(ok).To(BeFalse())
	})

	// Guards against too many concurrent loads: if the store serves two at full speed, each of six
	// takes three times as long, and the first model is ready as late as the last.
	It("adapts the number of concurrent loads to how long they take", func() {
		limiter := residency.NewLoadLimiter(100, 5*time.Second, now)
		at := now.Add(6 * time.Second)
		for _, h := range []string{"h1", "h2"} {
			limiter.TryAcquire(h, rare, at)
		}
		limiter.TryAcquire("h3", residency.LoadRequest{Model: "busy", FromStore: true, AddsCopy: true, Copies: 1, UncontendedTime: 6 * time.Second}, at)
		limiter.Release("h3", "busy", at.Add(9*time.Second))
		limiter.Release("h2", rare.Model, at.Add(6*time.Second))
		limiter.Release("h1", rare.Model, at.Add(6*time.Second))
		later := at.Add(10 * time.Second)
		ok, _ := limiter.TryAcquire("h1", rare, later)
		Expect(ok).To(BeTrue())
		ok, _ = limiter.TryAcquire("h2", rare, later)
		Expect(ok).To(BeFalse())
	})
})
