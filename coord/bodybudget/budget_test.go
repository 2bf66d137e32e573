package bodybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/bodybudget"
)

func TestBodyBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bodybudget")
}

const (
	largest = 4 << 20   // body
	memory  = 284 << 20 // of the process
)

var limits = bodybudget.LimitsFor(memory)

// load plays bodies against a budget.
type load struct {
	*bodybudget.Budget
	now      time.Time
	rejected map[*bodybudget.Body]bool
}

func newLoad() *load {
	return &load{Budget: bodybudget.New(limits), now: time.Unix(1000, 0), rejected: map[*bodybudget.Body]bool{}}
}

func (l *load) pass(d time.Duration) { l.now = l.now.Add(d) }

// send begins a body of an announced length and has size bytes of it arrive. It reports whether these were
// kept.
func (l *load) send(workspace string, length, size int64) (*bodybudget.Body, bool) {
	b := l.Begin(workspace, length, l.now)
	return b, l.grow(b, size)
}

func (l *load) grow(b *bodybudget.Body, size int64) bool {
	for _, r := range l.Grow(b, size, l.now) {
		l.rejected[r] = true
	}
	l.Advance(b, l.now)
	return !l.rejected[b]
}

var _ = Describe("bodies beyond the memory", func() {
	// Guards against stalled bodies that keep others out until their deadlines.
	It("replace stalled ones, the largest first", func() {
		l := newLoad()
		small, _ := l.send("w", 20<<10, 10<<10)
		for range 200 {
			l.send("w", largest, largest-1)
		}
		l.pass(bodybudget.StallTime)
		_, kept := l.send("w", largest, largest)
		Expect(kept).To(BeTrue())
		Expect(l.rejected).NotTo(HaveKey(small))
	})

	// Guards against a crowd of large bodies that are all in progress: if the largest gave way, none would
	// reach its end.
	It("let the oldest of one workspace end", func() {
		l := newLoad()
		var bodies []*bodybudget.Body
		for range 50 {
			b, _ := l.send("w", largest, 64<<10)
			bodies = append(bodies, b)
			l.pass(time.Millisecond)
		}
		for size := int64(128 << 10); size <= largest; size *= 2 {
			for _, b := range bodies {
				if !l.rejected[b] {
					l.grow(b, size)
				}
			}
		}
		ended := 0
		for i, b := range bodies {
			if l.Finish(b) {
				ended++
				Expect(i).To(BeNumerically("<", limits.Large/largest+1))
			}
		}
		Expect(ended).To(BeNumerically(">=", limits.Large/largest-1))
	})

	// Guards against one workspace that takes the memory of all others.
	It("are those of the workspace that holds the most", func() {
		l := newLoad()
		other, _ := l.send("b", largest, largest-1)
		for range 100 {
			l.send("a", largest, largest-1)
		}
		Expect(l.rejected).NotTo(HaveKey(other))
		_, kept := l.send("c", largest, largest)
		Expect(kept).To(BeTrue())
	})

	// Guards against large bodies that leave no room for small ones, also whole ones that wait.
	It("leave room for small ones", func() {
		l := newLoad()
		for range 100 {
			if b, kept := l.send("w", largest, largest); kept {
				Expect(l.Finish(b)).To(BeTrue())
			}
		}
		for range 200 {
			_, kept := l.send("w", 64<<10, 64<<10)
			Expect(kept).To(BeTrue())
		}
	})

	It("are rejected where only whole ones are held", func() {
		l := newLoad()
		for range 100 {
			if b, kept := l.send("w", largest, largest); kept {
				l.Finish(b)
			}
		}
		l.pass(time.Minute)
		_, kept := l.send("other", largest, largest)
		Expect(kept).To(BeFalse())
	})

	It("include chunked ones, which announce no length", func() {
		l := newLoad()
		for range 100 {
			l.send("w", -1, largest-1)
		}
		_, kept := l.send("w", 100<<10, 100<<10)
		Expect(kept).To(BeTrue())
	})
})

var _ = Describe("a slow body", func() {
	It("is kept while there is memory", func() {
		l := newLoad()
		b := l.Begin("w", largest, l.now)
		for size := int64(4 << 10); size <= largest; size += 4 << 10 {
			l.pass(10 * bodybudget.StallTime)
			Expect(l.Grow(b, size, l.now)).To(BeEmpty())
		}
		Expect(l.Finish(b)).To(BeTrue())
	})

	It("is shed for its connection if it has been stalled for longest", func() {
		l := newLoad()
		Expect(l.ShedStalled(1, l.now)).To(BeEmpty())
		first, _ := l.send("w", largest, 1)
		l.pass(time.Millisecond)
		l.send("w", largest, 1)
		l.pass(bodybudget.StallTime)
		Expect(l.ShedStalled(1, l.now)).To(HaveExactElements(BeIdenticalTo(first)))
		Expect(l.Finish(first)).To(BeFalse())
	})
})

// Guards against a sum that differs from what the bodies hold, whatever the order of events.
func TestBudgetHoldsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad()
		held := map[*bodybudget.Body]int64{}
		bodies := []*bodybudget.Body{}
		pick := func() *bodybudget.Body {
			if len(bodies) == 0 {
				t.Skip("no body")
			}
			return rapid.SampledFrom(bodies).Draw(t, "body")
		}
		open := map[*bodybudget.Body]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				length := rapid.SampledFrom([]int64{-1, 1 << 10, 64 << 10, largest}).Draw(t, "length")
				b := l.Begin(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"), length, l.now)
				bodies, open[b] = append(bodies, b), true
			},
			"grow": func(t *rapid.T) {
				b := pick()
				if !open[b] {
					return
				}
				size := held[b] + rapid.Int64Range(1, 16<<20).Draw(t, "more")
				held[b] = size
				for _, r := range l.Grow(b, size, l.now) {
					held[r], open[r] = 0, false
				}
			},
			"finish": func(t *rapid.T) {
				b := pick()
				l.Finish(b)
				open[b] = false
			},
			"release": func(t *rapid.T) {
				b := pick()
				l.Release(b)
				held[b], open[b] = 0, false
			},
			"shed": func(*rapid.T) {
				for _, b := range l.ShedStalled(1, l.now) {
					held[b], open[b] = 0, false
				}
			},
			"pass": func(t *rapid.T) { l.pass(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				sum, large := int64(0), int64(0)
				for _, n := range held {
					sum += n
					large += max(0, n-bodybudget.SmallBytes)
				}
				if sum != l.Held() || sum > limits.Bytes || large > limits.Large {
					t.Fatalf("%d bytes held, of these %d large, counted %d", sum, large, l.Held())
				}
			},
		})
	})
}
