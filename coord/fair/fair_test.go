package fair_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/fair"
)

// init sets a fixed seed for rapid, so that test runs are reproducible. Flags on the command
// line override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestFair(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fair")
}

var start = time.Unix(1_700_000_000, 0)

func item(n int, ws string, b fair.Band, weight, tokens int64) fair.Item {
	at := start.Add(time.Duration(n) * time.Millisecond)
	return fair.Item{ID: fmt.Sprint(n), Workspace: ws, Band: b, Weight: weight, Tokens: tokens, Arrived: at, Deadline: at.Add(time.Minute)}
}

var _ = Describe("the order of waiting work", func() {
	// Guards against a workspace with more and longer requests delaying a small one,
	// as happens when items are served in order of arrival.
	It("shares by tokens and rate, not by requests", func() {
		var q fair.Queue
		for n := range 400 {
			q.Push(item(n, "large", fair.Interactive, 1, 1000))
			q.Push(item(1000+n, "small", fair.Interactive, 1, 100))
			q.Push(item(2000+n, "double", fair.Interactive, 2, 100))
		}
		served := map[string]int64{}
		for range 400 {
			it, _ := q.Pop()
			served[it.Workspace] += it.Tokens
		}
		Expect(float64(served["large"])).To(BeNumerically("~", float64(served["small"]), 1000))
		Expect(float64(served["double"])).To(BeNumerically("~", 2*float64(served["small"]), 1100))
	})

	// Guards against MustFinish work starving while interactive requests keep arriving.
	It("moves work that must finish at its minimum share", func() {
		var q fair.Queue
		got := map[fair.Band]int64{}
		for n := range 3000 {
			q.Push(item(3*n, "a", fair.Interactive, 1, 100))
			q.Push(item(3*n+1, "b", fair.MustFinish, 1, 100))
			q.Push(item(3*n+2, "c", fair.ByDeadline, 1, 100))
			it, _ := q.Pop()
			got[it.Band] += it.Tokens
		}
		total := float64(3000 * 100)
		Expect(float64(got[fair.MustFinish]) / total).To(BeNumerically("~", 0.10, 0.01))
		Expect(float64(got[fair.ByDeadline]) / total).To(BeNumerically("~", 0.25, 0.01))
	})

	// Guards against a workspace that was idle getting credit for its idle time and
	// occupying the target for as long when it returns.
	It("owes nothing for time in which a workspace wanted nothing", func() {
		var q fair.Queue
		for n := range 100 {
			q.Push(item(n, "steady", fair.Interactive, 1, 100))
			q.Pop()
		}
		for n := range 20 {
			q.Push(item(1000+n, "steady", fair.Interactive, 1, 100))
			q.Push(item(2000+n, "back", fair.Interactive, 1, 100))
		}
		got := map[string]int{}
		for range 10 {
			it, _ := q.Pop()
			got[it.Workspace]++
		}
		Expect(got["back"]).To(BeNumerically("~", 5, 1))
	})

	// Guards against refusing a small workspace because of a large one's long queue,
	// although its own item would be served soon.
	It("forecasts the wait by fair share", func() {
		var q fair.Queue
		for n := range 100 {
			q.Push(item(n, "large", fair.Interactive, 1, 100))
		}
		Expect(q.TokensAhead("small", 1, fair.Interactive)).To(BeNumerically("<=", 100))
		Expect(q.TokensAhead("large", 1, fair.Interactive)).To(Equal(int64(10_000)))
	})

	It("keeps its sums and its items, whatever comes and goes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var q fair.Queue
			in := map[string]fair.Item{}
			n := 0
			ws := rapid.SampledFrom([]string{"a", "b", "c"})
			t.Repeat(map[string]func(*rapid.T){
				"push": func(t *rapid.T) {
					n++
					it := item(n, ws.Draw(t, "ws"), fair.Band(rapid.IntRange(0, 2).Draw(t, "band")), rapid.Int64Range(1, 9).Draw(t, "weight"), rapid.Int64Range(1, 900).Draw(t, "tokens"))
					q.Push(it)
					in[it.ID] = it
				},
				"pop": func(t *rapid.T) {
					it, ok := q.Pop()
					if ok != (len(in) > 0) || ok && in[it.ID].ID != it.ID {
						t.Fatalf("Pop() = %v, %v with %d waiting items", it, ok, len(in))
					}
					delete(in, it.ID)
				},
				"remove": func(t *rapid.T) {
					id := fmt.Sprint(rapid.IntRange(0, n+1).Draw(t, "id"))
					_, known := in[id]
					if _, removed := q.Remove(id); removed != known {
						t.Fatalf("Remove(%s) = %v, want %v", id, removed, known)
					}
					delete(in, id)
				},
				"adjust": func(t *rapid.T) {
					q.Adjust(ws.Draw(t, "ws"), 1, rapid.Int64Range(1, 900).Draw(t, "expected"), rapid.Int64Range(0, 900).Draw(t, "actual"))
				},
				"": func(t *rapid.T) {
					tokens := int64(0)
					for _, it := range in {
						tokens += it.Tokens
					}
					if q.Len() != len(in) || q.Tokens() != tokens {
						t.Fatalf("queue has %d items with %d tokens, want %d items with %d tokens", q.Len(), q.Tokens(), len(in), tokens)
					}
				},
			})
		})
	})
})

func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{10, 1000} {
		for _, spaces := range []int{5, 50} {
			b.Run(fmt.Sprintf("waiting=%d/workspaces=%d", waiting, spaces), func(b *testing.B) {
				var q fair.Queue
				names := make([]string, spaces)
				for i := range names {
					names[i] = fmt.Sprint("w", i)
				}
				it := item(0, "", fair.Interactive, 1, 100)
				next := func(n int) fair.Item {
					it.Workspace, it.Band = names[n%spaces], fair.Band(n%3)
					it.Arrived = it.Arrived.Add(time.Millisecond)
					return it
				}
				for n := range waiting {
					q.Push(next(n))
				}
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					q.Push(next(n))
					q.Pop()
				}
			})
		}
	}
}
