package workspace_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/workspace"
)

// steadyFleet simulates many entry hosts whose workspaces send about half of their rates.
type steadyFleet struct {
	now      time.Time
	r        *rand.Rand
	names    []string
	limits   map[string]workspace.Limit
	owner    *workspace.Owner
	holders  []*workspace.Holder
	timers   map[int64][]func() // callbacks by millisecond
	ms       int64
	asked    map[string]int64 // arrival in ms, by call ID
	waits    []time.Duration
	refused  int
	messages int
}

const (
	steadyWorkspaces = 20
	// callsPerHost is the number of calls per second on each host.
	callsPerHost = 5
	// renewsPerSecond is the number of Draws per second that an idle host sends.
	renewsPerSecond = 4
	// Network delay to an owner in another failure domain and back, in milliseconds.
	toOwnerMs, fromOwnerMs = 1, 2
)

// callSizes are the sizes of calls in tokens: one to a plain service and two to models.
var callSizes = []int64{200, 1500, 4000}

func newSteadyFleet(hosts int) *steadyFleet {
	f := &steadyFleet{now: start, r: rand.New(rand.NewSource(1)), limits: map[string]workspace.Limit{}, timers: map[int64][]func(){}, asked: map[string]int64{}}
	perCall := (callSizes[0] + callSizes[1] + callSizes[2]) / int64(len(callSizes))
	for i := range steadyWorkspaces {
		name := fmt.Sprintf("w%02d", i)
		f.names = append(f.names, name)
		rate := max(20_000, int64(2*callsPerHost*hosts)*perCall/steadyWorkspaces)
		f.limits[name] = workspace.Limit{Rate: rate, Burst: rate}
	}
	f.owner = workspace.NewOwner(1, f.limits, nil, f.now)
	for i := range hosts {
		h := workspace.NewHolder(workspace.HostKey{Host: fmt.Sprint("host", i)}, f.now)
		h.Configure(f.limits, f.now)
		f.holders = append(f.holders, h)
	}
	return f
}

func (f *steadyFleet) after(ms int64, do func()) { f.timers[f.ms+ms] = append(f.timers[f.ms+ms], do) }

func (f *steadyFleet) run(span time.Duration) {
	for range span.Milliseconds() {
		f.ms++
		f.now = f.now.Add(time.Millisecond)
		f.owner.ExtendLease(f.now.Add(time.Second))
		for n := f.r.ExpFloat64(); n < float64(callsPerHost*len(f.holders))/1000; n += f.r.ExpFloat64() {
			f.call(f.r.Intn(len(f.holders)), f.names[f.r.Intn(len(f.names))])
		}
		for _, do := range f.timers[f.ms] {
			do()
		}
		delete(f.timers, f.ms)
		for i, h := range f.holders {
			f.handleOutcomes(h.Tick(f.now))
			if d := h.Poll(f.now); d != nil {
				f.messages++
				f.after(toOwnerMs, func() { f.draw(i, d) })
			}
		}
	}
}

func (f *steadyFleet) draw(i int, d *workspace.Draw) {
	reply, err := f.owner.Draw(d, f.now)
	if err == nil {
		f.after(fromOwnerMs, func() { f.handleOutcomes(f.holders[i].Reply(reply, f.now)) })
	}
}

func (f *steadyFleet) call(i int, name string) {
	id := fmt.Sprint(len(f.asked))
	f.asked[id] = f.ms
	tokens := callSizes[f.r.Intn(len(callSizes))]
	_, waits, err := f.holders[i].Charge(id, name, tokens, f.now.Add(time.Hour), f.now)
	switch {
	case err != nil:
		f.refused++
	case !waits:
		f.recordWait(id)
	}
}

func (f *steadyFleet) handleOutcomes(outcomes []workspace.Outcome) {
	for _, o := range outcomes {
		if o.Err != nil {
			f.refused++
			continue
		}
		f.recordWait(o.ID)
	}
}

func (f *steadyFleet) recordWait(id string) {
	f.waits = append(f.waits, time.Duration(f.ms-f.asked[id])*time.Millisecond)
}

func (f *steadyFleet) quantile(p float64) time.Duration {
	slices.Sort(f.waits)
	return f.waits[int(p*float64(len(f.waits)-1))]
}

func BenchmarkWaitInsideRate(b *testing.B) {
	for _, hosts := range []int{8, 30, 100, 300} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			const span = 10 * time.Second
			var f *steadyFleet
			for b.Loop() {
				f = newSteadyFleet(hosts)
				f.run(span)
			}
			b.ReportMetric(float64(f.quantile(0.5).Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(f.quantile(0.99).Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(f.messages)/span.Seconds(), "owner-msg/s")
			b.ReportMetric(float64(f.messages)/span.Seconds()/float64(hosts), "host-msg/s")
			b.ReportMetric(float64(f.refused), "refused")
		})
	}
}

var _ = Describe("a fleet of 100 hosts at half of its rates", func() {
	// Guards against calls inside the rate that wait longer than two round trips for tokens.
	It("serves calls inside their rates in at most two round trips", func() {
		f := newSteadyFleet(100)
		f.run(10 * time.Second)
		Expect(f.refused).To(BeZero())
		Expect(f.quantile(0.99)).To(BeNumerically("<", 10*time.Millisecond))
	})

	// Guards against hosts that keep asking for more prefetched tokens than the owner's limit
	// per host allows.
	It("sends the owner no more messages than calls and reports require", func() {
		f := newSteadyFleet(100)
		f.run(10 * time.Second)
		// One message for each call, and one that reports its charge.
		Expect(float64(f.messages) / 10 / 100).To(BeNumerically("<", 2*callsPerHost+renewsPerSecond))
	})
})
