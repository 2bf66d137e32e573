package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// request is one call and what became of it.
type request struct {
	id        int
	at        time.Duration // arrival
	entry     int
	workspace string
	model     string
	adapter   string
	prefix    uint64
	class     string
	prompt    int64
	output    int64
	deadline  time.Duration
	inside    bool // an exact bucket over all hosts would let it in

	cold      bool
	charged   bool
	chargedAt time.Duration
	handedAt  time.Duration
	excluded  []string
	target    string
	startAt   time.Duration // of the run that answered
	endAt     time.Duration
	result    result
}

type result int

const (
	open result = iota
	answered
	refusedRate
	refusedOther
	failed
)

func (r *request) tokens() int64 { return r.prompt + r.output }

// tokenSeconds is the time of one generated token at full speed, promptSeconds of
// one prompt token: a short answer takes about a second, a long one a quarter of a
// minute.
const (
	tokenSeconds  = 0.015
	promptSeconds = 0.0002
)

// Scenario is a pattern of load, with what fails in it.
type Scenario struct {
	Name     string
	About    string
	Duration time.Duration
	// Load is the share of the fleet's capacity that arrives, over time.
	Load func(at time.Duration) float64
	// Zipf is the exponent of the models' popularity.
	Zipf float64
	// Long is the share of arrivals that are long.
	Long float64
	// Sessions groups a model's arrivals into sessions of about this many.
	Sessions int
	// Greedy multiplies the arrivals of one workspace.
	Greedy float64
	// OneEntry sends each workspace's requests to one entry host of its own.
	OneEntry bool
	// Burst is the share of all models that get their first requests at once, at
	// many entry hosts.
	Burst   float64
	BurstAt time.Duration
	// Events are faults.
	Events []incident
}

type incidentKind int

const (
	slowTarget incidentKind = iota
	loseTarget
	leaveTarget
	slowStore
)

type incident struct {
	kind   incidentKind
	at     time.Duration
	until  time.Duration
	target int     // number of the target
	factor float64 // how many times slower
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func peak(load float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 40*time.Second && at < 100*time.Second {
			return load
		}
		return 0.4
	}
}

// scenarios lists all, in the order of the table.
var scenarios = []Scenario{
	{Name: "idle", About: "steady, most models idle", Duration: time.Hour, Load: steady(0.01), Zipf: 1.1, Sessions: 4},
	{Name: "burst", About: "first requests for a quarter of the models at all entry hosts at once", Duration: 3 * time.Minute,
		Load: steady(0.05), Zipf: 1.1, Sessions: 4, Burst: 0.25, BurstAt: time.Minute},
	{Name: "greedy", About: "one workspace sends five times its rate", Duration: 3 * time.Minute, Load: steady(0.6), Zipf: 1.1, Sessions: 4, Long: 0.1, Greedy: 5},
	{Name: "one-entry", About: "each workspace's requests come in at one entry host", Duration: 3 * time.Minute, Load: steady(0.3), Zipf: 1.1, Sessions: 4, OneEntry: true},
	{Name: "slow-target", About: "one target five times slower", Duration: 3 * time.Minute, Load: steady(0.4), Zipf: 1.1, Sessions: 4,
		Events: []incident{{kind: slowTarget, at: 40 * time.Second, until: 150 * time.Second, target: 0, factor: 5}}},
	{Name: "long-short", About: "a fifth of the requests is long", Duration: 3 * time.Minute, Load: steady(0.7), Zipf: 1.1, Sessions: 4, Long: 0.2},
	{Name: "saturated-1.2", About: "1.2 times capacity for a minute, and back", Duration: 160 * time.Second, Load: peak(1.2), Zipf: 1.1, Sessions: 4, Long: 0.1},
	{Name: "saturated-2", About: "twice capacity for a minute, and back", Duration: 160 * time.Second, Load: peak(2), Zipf: 1.1, Sessions: 4, Long: 0.1},
	{Name: "saturated-5", About: "five times capacity for a minute, and back", Duration: 160 * time.Second, Load: peak(5), Zipf: 1.1, Sessions: 4, Long: 0.1},
	{Name: "slow-store", About: "the burst while the store is four times slower", Duration: 3 * time.Minute, Load: steady(0.05), Zipf: 1.1, Sessions: 4,
		Burst: 0.25, BurstAt: time.Minute, Events: []incident{{kind: slowStore, at: 50 * time.Second, until: 120 * time.Second, factor: 4}}},
	{Name: "lost-target", About: "two targets die, one leaves", Duration: 3 * time.Minute, Load: steady(0.4), Zipf: 1.1, Sessions: 4,
		Events: []incident{{kind: loseTarget, at: 60 * time.Second, target: 0}, {kind: loseTarget, at: 62 * time.Second, target: 1}, {kind: leaveTarget, at: 90 * time.Second, target: 2}}},
}

// overRate says whether the scenario's workspaces may send more than their rates
// in sum; their rates are then raised, so that capacity and not the rate decides.
func (s Scenario) overRate() bool {
	return s.Load(70*time.Second) > 0.8
}

// generator draws arrivals.
type generator struct {
	d   Deployment
	s   Scenario
	rnd *rand.Rand
	out []*request
}

// arrivals draws all requests of a run, in order of time.
func arrivals(d Deployment, s Scenario, seed uint64) []*request {
	g := &generator{d: d, s: s, rnd: rand.New(rand.NewPCG(seed, 17))}
	g.background()
	if s.Burst > 0 {
		g.burst()
	}
	slices.SortStableFunc(g.out, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	for i, r := range g.out {
		r.id = i
	}
	return g.out
}

// background draws sessions: a Poisson process of sessions, each with requests for
// one model of one workspace.
func (g *generator) background() {
	weights := make([]float64, g.d.Models)
	sum := 0.0
	for i := range weights {
		sum += 1 / math.Pow(float64(i+1), g.s.Zipf)
		weights[i] = sum
	}
	capacity := float64(g.d.Engines*concurrency) / meanService(g.s.Long) // requests a second
	for w, share := range g.d.Workspaces {
		factor := 1.0
		if w == greedyWorkspace && g.s.Greedy > 0 {
			factor = g.s.Greedy
		}
		for at := time.Duration(0); at < g.s.Duration; {
			rate := g.s.Load(at) * capacity * share * factor / float64(g.s.Sessions)
			at += time.Duration(g.rnd.ExpFloat64() / rate * float64(time.Second))
			m, _ := slices.BinarySearch(weights, g.rnd.Float64()*sum)
			g.session(at, w, min(m, g.d.Models-1))
		}
	}
}

// greedyWorkspace is the one that sends too much: a large one.
const greedyWorkspace = 1

func meanService(long float64) float64 {
	short := 300*promptSeconds + 75*tokenSeconds
	return (1-long)*short + long*(1000*promptSeconds+800*tokenSeconds)
}

func (g *generator) session(at time.Duration, w, m int) {
	prefix := g.rnd.Uint64() | 1
	adapter := ""
	if g.rnd.Float64() < 0.3 {
		if a := m + g.d.Models*g.rnd.IntN(2); a < g.d.Adapters {
			adapter = fmt.Sprintf("a%05d", a)
		}
	}
	for range 1 + g.rnd.IntN(2*g.s.Sessions-1) {
		if at >= g.s.Duration {
			return
		}
		g.add(at, w, m, prefix, adapter)
		at += time.Duration(g.rnd.ExpFloat64() * 5 * float64(time.Second))
	}
}

func (g *generator) add(at time.Duration, w, m int, prefix uint64, adapter string) {
	r := &request{at: at, entry: g.rnd.IntN(g.d.Entries), workspace: workspaceName(w), model: modelName(m), adapter: adapter, prefix: prefix}
	if g.s.OneEntry {
		r.entry = w % g.d.Entries
	}
	r.class, r.prompt, r.output = classLookup, 100+g.rnd.Int64N(400), 50+g.rnd.Int64N(50)
	switch u := g.rnd.Float64(); {
	case u < g.s.Long:
		r.class, r.prompt, r.output = classBrief, 1000, 400+g.rnd.Int64N(800)
	case u < g.s.Long+0.15:
		r.class = classReport
	}
	g.out = append(g.out, r)
}

// burst asks for the rarest models, each at every entry host within half a second.
func (g *generator) burst() {
	n := int(g.s.Burst * float64(g.d.Models))
	for i := range n {
		m := g.d.Models - 1 - i
		for e := range g.d.Entries {
			at := g.s.BurstAt + time.Duration(g.rnd.Int64N(int64(500*time.Millisecond)))
			g.add(at, g.rnd.IntN(len(g.d.Workspaces)), m, g.rnd.Uint64()|1, "")
			g.out[len(g.out)-1].entry = e
		}
	}
}
