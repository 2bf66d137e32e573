package target_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/target"
)

// init sets a fixed rapid seed, so that runs are reproducible. Flags on the command line
// override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

var start = time.Unix(1_700_000_000, 0)

// reconciled returns the replicas of an agent that has reconciled with an empty target.
func reconciled(l *target.Ledger) (*target.Replicas, time.Time) {
	r := target.NewReplicas(l, start)
	now := start.Add(time.Minute)
	r.Reconcile(nil, nil, now)
	return r, now
}

var _ = Describe("replicas and memory", func() {
	// Guards against overcommitted memory: a failed load still occupies memory in the
	// engine, and the next load is started as if that memory were free.
	It("keeps the memory of a failed load reserved until the engine confirms that it is free", func() {
		l := target.NewLedger(100, 20)
		r, now := reconciled(l)
		order, err := r.Decide(target.Decision{Model: "a", Version: "1", Bytes: 60, Fencing: 1, Load: true}, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(order.Kind).To(Equal(target.OrderLoad))
		r.LoadFailed("a", "1")
		_, err = r.Decide(target.Decision{Model: "b", Version: "1", Bytes: 60, Fencing: 2, Load: true}, now)
		Expect(fault.Is(err, fault.NoCapacity)).To(BeTrue())
		r.Unloaded("a", "1")
		_, err = r.Decide(target.Decision{Model: "b", Version: "1", Bytes: 60, Fencing: 2, Load: true}, now)
		Expect(err).NotTo(HaveOccurred())
	})

	// A version change needs memory for both versions, because the old one keeps serving.
	It("counts the memory of both versions during a version change", func() {
		l := target.NewLedger(100, 0)
		r, now := reconciled(l)
		_, _ = r.Decide(target.Decision{Model: "a", Version: "1", Bytes: 60, Fencing: 1, Load: true}, now)
		r.Loaded("a", "1", now)
		_, err := r.Decide(target.Decision{Model: "a", Version: "2", Bytes: 60, Fencing: 2, Load: true}, now)
		Expect(fault.Is(err, fault.NoCapacity)).To(BeTrue())
		Expect(r.Acquire("a")).To(Succeed())
		Expect(l.Used()).To(Equal(int64(60)))
	})

	// Guards against loading an unloaded model again: a partitioned control host repeats
	// an old order right after the agent's restart, and the engine checks no fencing token.
	It("rejects a stale fencing token also right after a restart", func() {
		r := target.NewReplicas(target.NewLedger(100, 0), start)
		old := target.Decision{Model: "a", Version: "1", Bytes: 10, Fencing: 3, Load: true}
		_, err := r.Decide(old, start)
		Expect(fault.Is(err, fault.Unavailable)).To(BeTrue())
		r.Reconcile(nil, map[string]uint64{"a": 5}, start.Add(time.Minute))
		_, err = r.Decide(old, start.Add(time.Minute))
		Expect(fault.Is(err, fault.Fenced)).To(BeTrue())
	})

	// An agent restarts while a load still runs in the engine. It must not reserve memory
	// before that load has ended.
	It("waits for a load from before its restart", func() {
		l := target.NewLedger(100, 0)
		r := target.NewReplicas(l, start)
		loading := []target.LoadedModel{{Model: "a", Version: "1", Bytes: 60, Loading: true}}
		r.Reconcile(loading, nil, start.Add(time.Minute))
		Expect(r.Reconciled()).To(BeFalse())
		loading[0].Loading = false
		orders := r.Reconcile(loading, nil, start.Add(2*time.Minute))
		Expect(orders).To(HaveLen(1), "control did not decide on the model")
		Expect(l.Used()).To(Equal(int64(60)))
	})

	// Guards against overcommitted memory: a delayed order of the agent's previous process
	// reaches the engine after the restarted agent has reconciled.
	It("adopts and unloads a model that it did not order to load", func() {
		l := target.NewLedger(100, 0)
		r, now := reconciled(l)
		orders := r.Reconcile([]target.LoadedModel{{Model: "late", Version: "1", Bytes: 60}}, nil, now)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0].Kind).To(Equal(target.OrderUnload))
		_, err := r.Decide(target.Decision{Model: "b", Version: "1", Bytes: 60, Fencing: 9, Load: true}, now)
		Expect(fault.Is(err, fault.NoCapacity)).To(BeTrue())
		r.Reconcile(nil, nil, now)
		Expect(l.Used()).To(BeZero())
	})

	It("never reserves more memory than the capacity, and frees only what is confirmed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := target.NewLedger(100, 20)
			r, now := reconciled(l)
			s := target.NewAdapters(l, 2)
			engine := map[string]int64{} // bytes that may be in memory, from the load order until the unload is confirmed
			fencing := uint64(0)
			models := rapid.SampledFrom([]string{"a", "b", "c"})
			versions := rapid.SampledFrom([]string{"1", "2"})
			adapters := rapid.SampledFrom([]string{"x", "y", "z"})
			size := func(name string) int64 { return int64(20 + 7*(name[0]-'a')%31) }
			loading := 0
			pending := map[string]bool{}
			recordLoads := func(orders []target.AdapterOrder) {
				for _, o := range orders {
					if o.Load {
						engine["adapter/"+o.Adapter] = 9
						pending[o.Adapter] = true
						loading++
					}
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"decide": func(t *rapid.T) {
					if rapid.Bool().Draw(t, "newer") {
						fencing++
					}
					m, v := models.Draw(t, "model"), versions.Draw(t, "version")
					o, err := r.Decide(target.Decision{Model: m, Version: v, Bytes: size(m), Fencing: fencing, Load: rapid.Bool().Draw(t, "load")}, now)
					if err == nil && o != nil && o.Kind == target.OrderLoad {
						engine[o.Model+"@"+o.Version] = size(m)
					}
				},
				"loaded":  func(t *rapid.T) { r.Loaded(models.Draw(t, "model"), versions.Draw(t, "version"), now) },
				"failed":  func(t *rapid.T) { r.LoadFailed(models.Draw(t, "model"), versions.Draw(t, "version")) },
				"use":     func(t *rapid.T) { _ = r.Acquire(models.Draw(t, "model")) },
				"release": func(t *rapid.T) { r.Release(models.Draw(t, "model"), now) },
				"gone": func(t *rapid.T) {
					m, v := models.Draw(t, "model"), versions.Draw(t, "version")
					delete(engine, m+"@"+v)
					r.Unloaded(m, v)
				},
				"need": func(t *rapid.T) {
					_, orders, _ := s.Acquire(adapters.Draw(t, "adapter"), "a", 9, now)
					recordLoads(orders)
				},
				"adapter done": func(t *rapid.T) { s.Release(adapters.Draw(t, "adapter"), now) },
				"adapter loaded": func(t *rapid.T) {
					a := adapters.Draw(t, "adapter")
					if pending[a] {
						loading--
						delete(pending, a)
					}
					s.AdapterLoaded(a)
				},
				"adapter gone": func(t *rapid.T) {
					a := adapters.Draw(t, "adapter")
					if pending[a] {
						loading--
						delete(pending, a)
					}
					delete(engine, "adapter/"+a)
					s.AdapterUnloaded(a)
				},
				"": func(t *rapid.T) {
					total := int64(0)
					for _, b := range engine {
						total += b
					}
					if total > 80 || l.Used() > 80 {
						t.Fatalf("%d bytes may be in memory, the ledger has %d in use; the capacity is 80", total, l.Used())
					}
					if loading > 2 {
						t.Fatalf("%d adapter loads in flight, want at most 2", loading)
					}
				},
			})
		})
	})

	// Guards against evicting the adapter of a running request to make room for another.
	It("evicts the least recently used idle adapter, never one in use", func() {
		l := target.NewLedger(30, 0)
		s := target.NewAdapters(l, 4)
		for i, name := range []string{"x", "y", "z"} {
			_, orders, err := s.Acquire(name, "m", 10, start.Add(time.Duration(i)*time.Second))
			Expect(err).NotTo(HaveOccurred())
			Expect(orders).To(HaveLen(1))
			s.AdapterLoaded(name)
		}
		s.Release("y", start.Add(10*time.Second))
		s.Release("z", start.Add(11*time.Second))
		_, orders, err := s.Acquire("w", "m", 10, start.Add(12*time.Second))
		Expect(fault.Is(err, fault.Overloaded)).To(BeTrue())
		Expect(orders).To(Equal([]target.AdapterOrder{{Adapter: "y", Model: "m"}}))
		_, orders, _ = s.Acquire("w", "m", 10, start.Add(12*time.Second))
		Expect(orders).To(BeEmpty(), "an unload that makes enough room is already in progress")
		s.AdapterUnloaded("y")
		_, orders, err = s.Acquire("w", "m", 10, start.Add(13*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders[0].Load).To(BeTrue())
	})
})

func work(n int, ws string, b fair.Band, tokens int64, now time.Time) target.Work {
	return target.Work{ID: fmt.Sprint(n), Workspace: ws, Band: b, Weight: 1000, Tokens: tokens, Arrived: now, Deadline: now.Add(time.Minute)}
}

var _ = Describe("the run queue", func() {
	// Guards against a suspected request that crashes the target while others run there.
	It("runs a suspected request alone, and does not starve it", func() {
		q := target.NewQueue(4)
		Expect(q.Push(work(1, "a", fair.Interactive, 10, start), start)).To(Succeed())
		_, ok := q.Pop(start)
		Expect(ok).To(BeTrue())
		suspect := work(2, "a", fair.Interactive, 10, start)
		suspect.Exclusive = true
		Expect(q.Push(suspect, start)).To(Succeed())
		Expect(q.Push(work(3, "b", fair.Interactive, 10, start), start)).To(Succeed())
		_, ok = q.Pop(start.Add(time.Second))
		Expect(ok).To(BeFalse(), "no other request may start before the suspected one")
		q.Done("1", 10, true, start.Add(time.Second))
		w, _ := q.Pop(start.Add(time.Second))
		Expect(w.ID).To(Equal("2"))
		_, ok = q.Pop(start.Add(time.Second))
		Expect(ok).To(BeFalse())
		Expect(q.TargetCrashed(start.Add(2*time.Second))).To(HaveLen(1), "only the suspected request was running")
		w, _ = q.Pop(start.Add(2 * time.Second))
		Expect(w.ID).To(Equal("3"))
	})

	// Guards against short calls that wait for minutes because long work uses all slots.
	It("keeps slots for short work", func() {
		q := target.NewQueue(8)
		for n := range 16 {
			Expect(q.Push(work(n, "a", fair.MustFinish, 4000, start), start)).To(Succeed())
		}
		running := 0
		for _, ok := q.Pop(start); ok; _, ok = q.Pop(start) {
			running++
		}
		Expect(running).To(Equal(6))
		Expect(q.Push(work(99, "b", fair.Interactive, 10, start), start)).To(Succeed())
		w, _ := q.Pop(start)
		Expect(w.ID).To(Equal("99"))
	})

	// Guards against a draining target that still accepts requests, which fail when it stops.
	It("rejects new and waiting requests at once while draining, and finishes running ones", func() {
		q := target.NewQueue(1)
		_ = q.Push(work(1, "a", fair.Interactive, 10, start), start)
		_ = q.Push(work(2, "a", fair.Interactive, 10, start), start)
		_, _ = q.Pop(start)
		refusals := q.Drain()
		Expect(refusals).To(HaveLen(1))
		Expect(fault.From(refusals[0].Err).Ran).To(Equal(fault.RanNo))
		Expect(fault.Is(q.Push(work(3, "a", fair.Interactive, 10, start), start), fault.Leaving)).To(BeTrue())
		Expect(q.Idle()).To(BeFalse())
		q.Done("1", 10, true, start)
		Expect(q.Idle()).To(BeTrue())
	})

	It("prefers a cached prefix a limited number of times, and clears the prefixes at a sequence gap", func() {
		q := target.NewQueue(2)
		q.Prefixes().ApplyEvent(1, "hot", true)
		for n, prefix := range []string{"cold", "hot", "hot", "cold"} {
			w := work(n, "a", fair.Interactive, 10, start.Add(time.Duration(n)))
			w.PrefixHash = prefix
			Expect(q.Push(w, start)).To(Succeed())
		}
		w, _ := q.Pop(start)
		Expect(w.ID).To(Equal("1"))
		q.Done("1", 10, true, start)
		q.Prefixes().ApplyEvent(3, "other", true)
		Expect(q.Prefixes().Has("hot")).To(BeFalse())
		w, _ = q.Pop(start)
		Expect(w.ID).To(Equal("0"))
	})

	It("runs each request at most once, and at most as many as its limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := target.NewQueue(3)
			now := start
			n := 0
			waiting, running := map[string]bool{}, map[string]bool{}
			any := func(t *rapid.T, m map[string]bool) string {
				for id := rapid.IntRange(0, n).Draw(t, "id"); id >= 0; id-- {
					if m[fmt.Sprint(id)] {
						return fmt.Sprint(id)
					}
				}
				t.Skip()
				return ""
			}
			removeRefused := func(t *rapid.T, refusals []target.Refusal) {
				for _, r := range refusals {
					if !waiting[r.ID] || fault.From(r.Err).Ran != fault.RanNo {
						t.Fatalf("unexpected refusal %v", r)
					}
					delete(waiting, r.ID)
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"push": func(t *rapid.T) {
					n++
					w := work(n, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "ws"), fair.Band(rapid.IntRange(0, 2).Draw(t, "band")), rapid.Int64Range(1, 9000).Draw(t, "tokens"), now)
					w.Exclusive = rapid.IntRange(0, 5).Draw(t, "alone") == 0
					w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
					if q.Push(w, now) == nil {
						waiting[w.ID] = true
					}
				},
				"pop": func(t *rapid.T) {
					w, ok := q.Pop(now)
					if !ok {
						return
					}
					if !waiting[w.ID] || w.Exclusive && len(running) > 0 {
						t.Fatalf("started %+v while %d requests were running", w, len(running))
					}
					delete(waiting, w.ID)
					running[w.ID] = true
				},
				"first token": func(t *rapid.T) { q.FirstToken(any(t, running), now) },
				"done": func(t *rapid.T) {
					id := any(t, running)
					q.Done(id, 5, rapid.Bool().Draw(t, "ok"), now)
					delete(running, id)
				},
				"cancel": func(t *rapid.T) {
					id := any(t, waiting)
					if waited, ran := q.Cancel(id); !waited || ran {
						t.Fatalf("cancel %s: waited %v, ran %v", id, waited, ran)
					}
					delete(waiting, id)
				},
				"crash": func(t *rapid.T) {
					if got := q.TargetCrashed(now); len(got) != len(running) {
						t.Fatalf("crash returned %d requests, want %d", len(got), len(running))
					}
					clear(running)
				},
				"advance": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
					removeRefused(t, q.Expire(now))
				},
				"": func(t *rapid.T) {
					load := q.Load()
					if load.Running != len(running) || load.Queued != len(waiting) || load.Running > 5 {
						t.Fatalf("load %+v, want %d running (at most 5) and %d queued", load, len(running), len(waiting))
					}
				},
			})
		})
	})
})

func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := target.NewQueue(64)
			for n := range waiting {
				_ = q.Push(work(n, fmt.Sprint("w", n%5), fair.Interactive, 100, start), start)
			}
			ids := make([]string, 1<<12)
			for i := range ids {
				ids[i] = fmt.Sprint("id", i)
			}
			now := start
			w := work(0, "w1", fair.Interactive, 100, start)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				w.ID, w.Arrived, w.Deadline = ids[n%len(ids)], now, now.Add(time.Minute)
				_ = q.Push(w, now)
				got, ok := q.Pop(now)
				if ok {
					q.Done(got.ID, 50, true, now)
				}
			}
		})
	}
}
