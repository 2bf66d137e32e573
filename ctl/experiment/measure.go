package experiment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// measure collects what a run is judged by.
type measure struct {
	idle       time.Duration // accelerators that hold a model and run nothing
	idleWeight float64       // seconds, by the share of memory that idle replicas hold
	loads      int
	unloads    int
	wrongPlace int
	overcommit bool
	inside     map[string]bool // workspaces that never exceeded their rate and burst
	admissible map[string]float64
}

// markInside plays the arrivals through one exact bucket for each workspace.
func (m *measure) markInside(w *world) {
	m.inside, m.admissible = map[string]bool{}, map[string]float64{}
	buckets := map[string]*bucket{}
	for name, ws := range w.config.Workspaces {
		buckets[name] = &bucket{rate: float64(ws.Rate), burst: float64(ws.Burst), level: float64(ws.Burst)}
		m.inside[name] = true
	}
	for _, r := range w.requests {
		r.inside = buckets[r.workspace].take(r.tokens(), r.at)
		if r.inside {
			m.admissible[r.workspace] += float64(r.tokens())
		} else {
			m.inside[r.workspace] = false
		}
	}
}

// sample adds one tick of idle time.
func (m *measure) sample(w *world) {
	if w.now >= w.scenario.Duration {
		return
	}
	for _, name := range w.names {
		t := w.targets[name]
		if t.dead || len(t.held) == 0 {
			continue
		}
		m.overcommit = m.overcommit || t.used > t.spec.WeightBytes()
		if len(t.running) == 0 {
			m.idle += tick
		}
		for model, h := range t.held {
			if h.running == 0 {
				m.idleWeight += tick.Seconds() * float64(w.config.Models[model].Bytes) / float64(t.spec.WeightBytes())
			}
		}
	}
}

// Result is what one run gave.
type Result struct {
	Requests     int
	Cold         []float64            // seconds from arrival to the start of the run; the deadline when it had none
	ColdClass    map[string][]float64 // the same, by class
	ColdMissed   map[string]int       // how many of them had no answer, by class
	IdleHours    float64              // accelerators that hold a model and run nothing
	IdleWeight   float64              // hours, weighted by the share of memory that idle replicas hold
	RefusedRate  int                  // by the rate, of workspaces inside theirs
	RefusedOther int                  // for other reasons, of workspaces inside their rate
	Inside       int                  // requests of workspaces inside their rate
	Classes      map[string]Share
	Lost         int
	Overrun      float64 // tokens charged above rate x time + burst, worst workspace
	Overcommit   bool
	Loads        int
	Unloads      int
	WrongPlace   int
	// for the worst workspace's share
	served     map[string]float64
	admissible map[string]float64
	rates      map[string]float64
}

// Share is a part of a whole.
type Share struct{ Part, Whole int }

func (m *measure) result(w *world) Result {
	res := Result{
		Requests: len(w.requests), IdleHours: m.idle.Hours(), IdleWeight: m.idleWeight / time.Hour.Seconds(),
		Classes: map[string]Share{}, ColdClass: map[string][]float64{}, ColdMissed: map[string]int{}, Overcommit: m.overcommit, Loads: m.loads, Unloads: m.unloads, WrongPlace: m.wrongPlace,
		served: map[string]float64{}, admissible: m.admissible, rates: map[string]float64{},
	}
	for name, ws := range w.config.Workspaces {
		res.rates[name] = float64(ws.Rate)
	}
	for _, r := range w.requests {
		m.judge(w, r, &res)
	}
	res.Overrun = overrun(w)
	slices.Sort(res.Cold)
	return res
}

func (m *measure) judge(w *world, r *request, res *Result) {
	inTime := r.result == answered && r.endAt <= r.deadline
	if r.result == open {
		res.Lost++
	}
	if r.cold && r.result != refusedRate {
		wait := (r.deadline - r.at).Seconds()
		if r.result == answered {
			wait = min(wait, (r.startAt - r.at).Seconds())
		} else {
			res.ColdMissed[r.class]++
		}
		res.Cold = append(res.Cold, wait)
		res.ColdClass[r.class] = append(res.ColdClass[r.class], wait)
	}
	if inTime {
		res.served[r.workspace] += float64(r.tokens())
	}
	if !r.inside {
		return
	}
	c := res.Classes[r.class]
	c.Whole++
	if inTime {
		c.Part++
	}
	res.Classes[r.class] = c
	if !m.inside[r.workspace] {
		return
	}
	res.Inside++
	switch r.result {
	case refusedRate:
		res.RefusedRate++
	case refusedOther:
		res.RefusedOther++
	}
}

// overrun is how far the charges of any workspace exceed rate x time + burst in
// any window: the depth below zero of a bucket that takes every charge.
func overrun(w *world) float64 {
	worst := 0.0
	charges := slices.Clone(w.requests)
	slices.SortStableFunc(charges, func(a, b *request) int { return cmp.Compare(a.chargedAt, b.chargedAt) })
	type account struct {
		level float64
		at    time.Duration
	}
	accounts := map[string]*account{}
	for _, r := range charges {
		if !r.charged {
			continue
		}
		ws := w.config.Workspaces[r.workspace]
		a := accounts[r.workspace]
		if a == nil {
			a = &account{level: float64(ws.Burst)}
			accounts[r.workspace] = a
		}
		a.level = min(float64(ws.Burst), a.level+float64(ws.Rate)*(r.chargedAt-a.at).Seconds())
		a.at = r.chargedAt
		a.level -= float64(r.tokens())
		worst = max(worst, -a.level)
	}
	return worst
}

// Quantile of a sorted list; NaN of an empty one.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// worstShare is the least share that a workspace got of what it is owed, when
// capacity tokens are shared out: each gets what it asks for inside its rate, or,
// where that is too much, its part by rate (max-min).
func (r Result) worstShare(capacity float64) float64 {
	owed := fairShares(r.admissible, r.rates, capacity)
	worst := 1.0
	for name, tokens := range owed {
		if tokens > 0 {
			worst = min(worst, r.served[name]/tokens)
		}
	}
	return worst
}

func (r Result) total() float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(r.served)) {
		sum += r.served[name]
	}
	return sum
}

// fairShares is the weighted max-min division of capacity.
func fairShares(asked, weights map[string]float64, capacity float64) map[string]float64 {
	owed := map[string]float64{}
	open := slices.Sorted(maps.Keys(asked))
	for len(open) > 0 {
		sum := 0.0
		for _, name := range open {
			sum += weights[name]
		}
		var rest []string
		given := 0.0
		for _, name := range open {
			if asked[name] <= capacity*weights[name]/sum {
				owed[name] = asked[name]
				given += asked[name]
				continue
			}
			rest = append(rest, name)
		}
		if len(rest) == len(open) {
			for _, name := range open {
				owed[name] = capacity * weights[name] / sum
			}
			return owed
		}
		capacity -= given
		open = rest
	}
	return owed
}
