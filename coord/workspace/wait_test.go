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

// calmFleet is many entry hosts whose workspaces stay at half of their rates.
type calmFleet struct {
	now      time.Time
	r        *rand.Rand
	names    []string
	limits   map[string]workspace.Limit
	owner    *workspace.Owner
	holders  []*workspace.Holder
	due      map[int64][]func() // by millisecond
	ms       int64
	asked    map[string]int64 // milliseconds, by call
	waits    []time.Duration
	refused  int
	messages int
}

const (
	calmWorkspaces = 20
	// callsPerHost is how many calls a second a host takes.
	callsPerHost = 5
	// renewsPerSecond is how often a host that is idle draws.
	renewsPerSecond = 4
	// One way to the owner in another failure domain and back, in milliseconds.
	toOwnerMs, fromOwnerMs = 1, 2
)

// usualCalls are the sizes of calls in tokens: a call of a plain service and two of models.
var usualCalls = []int64{200, 1500, 4000}

func newCalmFleet(hosts int) *calmFleet {
	f := &calmFleet{now: start, r: rand.New(rand.NewSource(1)), limits: map[string]workspace.Limit{}, due: map[int64][]func(){}, asked: map[string]int64{}}
	perCall := (usualCalls[0] + usualCalls[1] + usualCalls[2]) / int64(len(usualCalls))
	for i := range calmWorkspaces {
		name := fmt.Sprintf("w%02d", i)
		f.names = append(f.names, name)
		rate := max(20_000, int64(2*callsPerHost*hosts)*perCall/calmWorkspaces)
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

func (f *calmFleet) at(ms int64, do func()) { f.due[f.ms+ms] = append(f.due[f.ms+ms], do) }

func (f *calmFleet) run(span time.Duration) {
	for range span.Milliseconds() {
		f.ms++
		f.now = f.now.Add(time.Millisecond)
		f.owner.Extend(f.now.Add(time.Second))
		for n := f.r.ExpFloat64(); n < float64(callsPerHost*len(f.holders))/1000; n += f.r.ExpFloat64() {
			f.call(f.r.Intn(len(f.holders)), f.names[f.r.Intn(len(f.names))])
		}
		for _, do := range f.due[f.ms] {
			do()
		}
		delete(f.due, f.ms)
		for i, h := range f.holders {
			f.take(h.Tick(f.now))
			if d := h.Poll(f.now); d != nil {
				f.messages++
				f.at(toOwnerMs, func() { f.draw(i, d) })
			}
		}
	}
}

func (f *calmFleet) draw(i int, d *workspace.Draw) {
	reply, err := f.owner.Draw(d, f.now)
	if err == nil {
		f.at(fromOwnerMs, func() { f.take(f.holders[i].Reply(reply, f.now)) })
	}
}

func (f *calmFleet) call(i int, name string) {
	id := fmt.Sprint(len(f.asked))
	f.asked[id] = f.ms
	tokens := usualCalls[f.r.Intn(len(usualCalls))]
	_, waits, err := f.holders[i].Charge(id, name, tokens, f.now.Add(time.Hour), f.now)
	switch {
	case err != nil:
		f.refused++
	case !waits:
		f.ended(id)
	}
}

func (f *calmFleet) take(outcomes []workspace.Outcome) {
	for _, o := range outcomes {
		if o.Err != nil {
			f.refused++
			continue
		}
		f.ended(o.ID)
	}
}

func (f *calmFleet) ended(id string) {
	f.waits = append(f.waits, time.Duration(f.ms-f.asked[id])*time.Millisecond)
}

func (f *calmFleet) quantile(p float64) time.Duration {
	slices.Sort(f.waits)
	return f.waits[int(p*float64(len(f.waits)-1))]
}

func BenchmarkWaitInsideRate(b *testing.B) {
	for _, hosts := range []int{8, 30, 100, 300} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			const span = 10 * time.Second
			var f *calmFleet
			for b.Loop() {
				f = newCalmFleet(hosts)
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

var _ = Describe("a calm fleet of 100 hosts", func() {
	// Guards against calls inside the rate that wait longer than two round trips for tokens.
	It("meets calls inside their rates in at most two round trips", func() {
		f := newCalmFleet(100)
		f.run(10 * time.Second)
		Expect(f.refused).To(BeZero())
		Expect(f.quantile(0.99)).To(BeNumerically("<", 10*time.Millisecond))
	})

	// Guards against hosts that ask for a stock which the owner's share never fills.
	It("sends the owner no more messages than calls and reports need", func() {
		f := newCalmFleet(100)
		f.run(10 * time.Second)
		// One message for each call, and one for the report of what it spent.
		Expect(float64(f.messages) / 10 / 100).To(BeNumerically("<", 2*callsPerHost+renewsPerSecond))
	})
})
