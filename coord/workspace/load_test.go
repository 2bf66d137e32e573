package workspace_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/workspace"
)

// loadRun simulates calls to a fleet whose messages take a millisecond each way.
type loadRun struct {
	f                 *fleet
	r                 *rand.Rand
	timers            map[int64][]func() // callbacks by millisecond
	ms                int64
	asked             int // calls made
	refused           int // of the calls made
	served            int64
	maxUnusedFraction float64
	ends              int
	ownerDown         bool // no owner is reachable
}

func newLoadRun(seed int64, hosts int, limit workspace.Limit) *loadRun {
	return &loadRun{f: newFleet(hosts, limit), r: rand.New(rand.NewSource(seed)), timers: map[int64][]func(){}}
}

func (l *loadRun) after(ms int64, do func()) { l.timers[l.ms+ms] = append(l.timers[l.ms+ms], do) }

// run advances the time in steps of a millisecond and calls arrive in each.
func (l *loadRun) run(ms int64, arrive func()) {
	for range ms {
		l.ms++
		l.f.now = l.f.now.Add(time.Millisecond)
		if l.ms%200 == 0 && !l.ownerDown {
			l.f.extend()
		}
		arrive()
		for _, do := range l.timers[l.ms] {
			do()
		}
		delete(l.timers, l.ms)
		for i, h := range l.f.holders {
			l.handleOutcomes(i, h.Tick(l.f.now))
			if d := h.Poll(l.f.now); d != nil {
				l.after(1, func() { l.draw(i, d) })
			}
		}
	}
}

func (l *loadRun) draw(i int, d *workspace.Draw) {
	if l.ownerDown {
		return
	}
	reply, err := l.f.owner().Draw(d, l.f.now)
	if err == nil {
		l.after(1, func() { l.handleOutcomes(i, l.f.holders[i].Reply(reply, l.f.now)) })
	}
}

func (l *loadRun) handleOutcomes(i int, outcomes []workspace.Outcome) {
	charged, refused := l.f.handleOutcomes(i, outcomes)
	l.refused += refused
	for n := len(l.f.oracle.charges) - charged; n < len(l.f.oracle.charges); n++ {
		l.finish(n)
	}
}

// finish ends a charged request after 0.1 to 2.1 s and refunds a random part of its tokens, up to
// maxUnusedFraction.
func (l *loadRun) finish(n int) {
	l.served += l.f.oracle.charges[n].tokens
	l.ends++
	unused := l.r.Float64() * l.maxUnusedFraction
	l.after(100+l.r.Int63n(2000), func() {
		l.f.refund(n, func(_, hi int) int { return int(float64(hi) * unused) })
	})
}

func (l *loadRun) call(i int, tokens int64) {
	l.asked++
	before := len(l.f.oracle.charges)
	waits, err := l.f.charge(i, tokens)
	if err != nil {
		l.refused++
	}
	if err == nil && !waits {
		l.finish(before)
	}
}

// insideRate simulates one workspace whose caller enforces the rate and burst with a token
// bucket of its own, and returns the fraction of refused calls. With skewed, nine of ten calls
// go to one host, which changes every 5 s.
func insideRate(seed int64, skewed bool) (refused float64, run *loadRun) {
	limit := workspace.Limit{Rate: 4000, Burst: 20000}
	l := newLoadRun(seed, 3, limit)
	level := float64(limit.Burst)
	load := 1.0
	l.run(60_000, func() {
		level = min(float64(limit.Burst), level+float64(limit.Rate)/1000)
		if l.r.Intn(2000) == 0 {
			load = 0.2 + 6*l.r.Float64()*l.r.Float64()
		}
		for l.r.Float64() < load*float64(limit.Rate)/1000/600 {
			tokens := int64(100 + l.r.ExpFloat64()*500)
			if level < float64(tokens) {
				return
			}
			level -= float64(tokens)
			host := l.r.Intn(3)
			if skewed && l.r.Intn(10) > 0 {
				host = int(l.ms/5000) % 3
			}
			l.call(host, tokens)
		}
	})
	return float64(l.refused) / float64(l.asked), l
}

var _ = Describe("a workspace's calls under load", func() {
	// Guards against refused calls inside the rate when the tokens are held by an entry host
	// that the workspace no longer calls. The objective is under 0.1 %.
	It("does not refuse calls inside the rate", func() {
		refused, asked := 0, 0
		for seed := range int64(10) {
			_, l := insideRate(seed, seed%2 == 1)
			refused += l.refused
			asked += l.asked
		}
		AddReportEntry("refused inside the rate", fmt.Sprintf("%d of %d", refused, asked))
		Expect(float64(refused)).To(BeNumerically("<", 0.001*float64(asked)))
	})

	// Guards against an overloaded workspace that gets more or less than its rate.
	It("serves a workspace that sends five times its rate with just its rate", func() {
		limit := workspace.Limit{Rate: 4000, Burst: 20000}
		l := newLoadRun(1, 3, limit)
		l.run(60_000, func() {
			if l.r.Float64() < 5*4.0/600 {
				l.call(l.r.Intn(3), int64(100+l.r.ExpFloat64()*500))
			}
		})
		owed := float64(limit.Burst + 60*limit.Rate)
		AddReportEntry("served of owed", fmt.Sprintf("%.3f", float64(l.served)/owed))
		Expect(float64(l.served)).To(BeNumerically(">", 0.95*owed))
		Expect(l.f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against refused calls inside the rate when the leader is lost, here for 1.2 s each
	// time. Calls wait instead, and the bucket level is recovered from the reports of all hosts.
	It("refuses nothing inside the rate when the owner changes", func() {
		l := newLoadRun(3, 3, workspace.Limit{Rate: 4000, Burst: 20000})
		l.run(60_000, func() {
			switch l.ms % 10_000 {
			case 8_000:
				l.ownerDown = true
			case 9_200:
				l.ownerDown = false
				l.f.takeOver()
			}
			if l.r.Float64() < 0.5*4.0/600 {
				l.call(l.r.Intn(3), int64(100+l.r.ExpFloat64()*500))
			}
		})
		AddReportEntry("refused", fmt.Sprintf("%d of %d", l.refused, l.asked))
		Expect(l.refused).To(BeZero())
		Expect(l.f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})
})

func BenchmarkChargeFromStock(b *testing.B) {
	limit := workspace.Limit{Rate: 1 << 29, Burst: 1 << 29}
	f := newFleet(1, limit)
	_, _ = f.charge(0, 1<<20)
	f.exchange(0)
	now := f.now
	h := f.holders[0]
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%1000 == 999 {
			now = now.Add(101 * time.Millisecond)
			if d := h.Poll(now); d != nil {
				f.owner().ExtendLease(now.Add(time.Second))
				reply, _ := f.owner().Draw(d, now)
				h.Reply(reply, now)
			}
		}
		_, waits, err := h.Charge("id", ws, 10, now, now)
		if err != nil || waits {
			h.Cancel(ws, "id")
		}
	}
}

func BenchmarkGrant(b *testing.B) {
	for _, hosts := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			limit := workspace.Limit{Rate: 1 << 29, Burst: 1 << 29}
			o := workspace.NewOwner(1, map[string]workspace.Limit{ws: limit}, nil, start)
			now := start
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				o.ExtendLease(now.Add(time.Second))
				sequence := uint64(n/hosts + 1)
				_, err := o.Draw(&workspace.Draw{
					From: workspace.HostKey{Host: fmt.Sprint("h", n%hosts)}, Epoch: 1,
					Sequence: sequence, Applied: sequence - 1,
					Items: []workspace.DrawItem{{Workspace: ws, Need: 100, Want: 100, UsePerSecond: 1000}},
				}, now)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
