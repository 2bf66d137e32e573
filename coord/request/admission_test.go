package request_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

func newPending(n int, ws string, now time.Time) request.Pending {
	return request.Pending{
		ID: fmt.Sprint(n), Workspace: ws, KeyID: "key-" + ws, Destination: dest, Class: interactive,
		Weight: 1000, Tokens: 100, Bytes: 10, Arrived: now, Deadline: now.Add(interactive.Deadline),
	}
}

var _ = Describe("admission at an entry host", func() {
	// Without a limit per workspace, one workspace fills the host, and the callers of all
	// others are refused.
	It("leaves room for a new workspace when one workspace fills the host", func() {
		a := request.NewAdmission(request.Bounds{Calls: 100, Bytes: 10_000})
		refused := 0
		for n := range 200 {
			if err := a.Enqueue(newPending(n, "large", start), start); err != nil {
				Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
				refused++
			}
		}
		Expect(refused).To(Equal(150))
		for n := range 20 {
			Expect(a.Enqueue(newPending(1000+n, "small", start), start)).To(Succeed())
		}
		big := newPending(2000, "other", start)
		big.Bytes = 9_500
		Expect(fault.Is(a.Enqueue(big, start), fault.Overloaded)).To(BeTrue())
	})

	// Guards against starting a call that was queued before its key was withdrawn.
	It("starts nothing of a withdrawn key", func() {
		a := request.NewAdmission(request.Bounds{Calls: 100, Bytes: 10_000})
		a.SetForecast(dest, true, start.Add(time.Second), start)
		Expect(a.Enqueue(newPending(1, "a", start), start)).To(Succeed())
		Expect(a.Enqueue(newPending(2, "b", start), start)).To(Succeed())
		refusals := a.RevokeKey("key-a")
		Expect(refusals).To(HaveLen(1))
		Expect(fault.Is(refusals[0].Err, fault.Unauthenticated)).To(BeTrue())
		a.SetForecast(dest, true, start.Add(time.Second), start)
		next, ok := a.Next(dest, start.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(next.ID).To(Equal("2"))
	})

	// Guards against refusing a destination permanently after slow runs: without admitted
	// calls there is no new measurement of its service time.
	It("still admits calls to a destination after slow runs", func() {
		a := request.NewAdmission(request.Bounds{Calls: 100, Bytes: 10_000})
		for n := range 20 {
			Expect(a.Enqueue(newPending(n, "a", start), start)).To(Succeed())
			next, ok := a.Next(dest, start)
			Expect(ok).To(BeTrue())
			a.Done(next.ID, 50, 20*time.Second, start)
		}
		Expect(a.Enqueue(newPending(99, "a", start), start)).To(Succeed())
		_, ok := a.Next(dest, start)
		Expect(ok).To(BeTrue())
	})

	It("holds each call exactly once, with correct totals", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := request.NewAdmission(request.Bounds{Calls: 12, Bytes: 200})
			now := start
			n := 0
			waiting, running := map[string]request.Pending{}, map[string]request.Pending{}
			drop := func(refusals []request.Refusal) {
				for _, r := range refusals {
					if _, known := waiting[r.ID]; !known || r.Err == nil {
						t.Fatalf("refusal %v of a call that is not queued", r)
					}
					delete(waiting, r.ID)
				}
			}
			anyOf := func(t *rapid.T, m map[string]request.Pending) string {
				for id := rapid.IntRange(0, n).Draw(t, "id"); id >= 0; id-- {
					if _, known := m[fmt.Sprint(id)]; known {
						return fmt.Sprint(id)
					}
				}
				t.Skip()
				return ""
			}
			t.Repeat(map[string]func(*rapid.T){
				"arrive": func(t *rapid.T) {
					n++
					p := newPending(n, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "ws"), now)
					p.Class.Band = fair.Band(rapid.IntRange(0, 2).Draw(t, "band"))
					p.Bytes = rapid.Int64Range(0, 60).Draw(t, "bytes")
					if a.Enqueue(p, now) == nil {
						waiting[p.ID] = p
					}
				},
				"next": func(t *rapid.T) {
					p, ok := a.Next(dest, now)
					if !ok {
						return
					}
					if _, known := waiting[p.ID]; !known {
						t.Fatalf("started %s, which was not queued", p.ID)
					}
					delete(waiting, p.ID)
					running[p.ID] = p
				},
				"done": func(t *rapid.T) {
					id := anyOf(t, running)
					a.Done(id, 10, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond, now)
					delete(running, id)
				},
				"again": func(t *rapid.T) {
					id := anyOf(t, running)
					a.ReportOverload(id, now)
					if a.Requeue(id, now) == nil {
						waiting[id] = running[id]
					}
					delete(running, id)
				},
				"cancel": func(t *rapid.T) {
					id := anyOf(t, waiting)
					if !a.Cancel(id) {
						t.Fatalf("%s is not queued", id)
					}
					delete(waiting, id)
				},
				"advance": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
					drop(a.Expire(now))
					for id, p := range waiting {
						if !now.Before(p.Deadline) {
							t.Fatalf("%s is still queued after its deadline", id)
						}
					}
				},
				"forecast": func(t *rapid.T) {
					drop(a.SetForecast(dest, rapid.Bool().Draw(t, "possible"), now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond), now))
				},
				"withdraw": func(t *rapid.T) { drop(a.RevokeKey("key-a")) },
				"": func(t *rapid.T) {
					bytes := int64(0)
					for _, m := range []map[string]request.Pending{waiting, running} {
						for _, p := range m {
							bytes += p.Bytes
						}
					}
					calls, held := a.Usage()
					if calls != len(waiting)+len(running) || held != bytes || calls > 12 || held > 200 {
						t.Fatalf("holds %d calls and %d bytes, want %d and %d", calls, held, len(waiting)+len(running), bytes)
					}
				},
			})
		})
	})
})

func BenchmarkAdmission(b *testing.B) {
	for _, waiting := range []int{0, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			a := request.NewAdmission(request.Bounds{Calls: 1 << 20, Bytes: 1 << 40})
			now := start
			for n := range waiting {
				_ = a.Enqueue(newPending(n, fmt.Sprint("w", n%5), now), now)
			}
			p := newPending(0, "w1", now)
			ids := make([]string, 1<<14)
			for i := range ids {
				ids[i] = fmt.Sprint("id", i)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				p.ID = ids[n%len(ids)]
				p.Arrived = p.Arrived.Add(time.Microsecond)
				if err := a.Enqueue(p, now); err != nil {
					b.Fatal(err)
				}
				next, _ := a.Next(dest, now)
				a.Done(next.ID, 50, time.Millisecond, now)
			}
		})
	}
}
