package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Router chooses targets. It is not safe for concurrent use.
type Router struct {
	settings Settings
	domain   string
	rnd      *rand.Rand
	targets  map[string]*target
	serving  map[string]*group
	viewed   map[string][]Replica
	fixes    corrections
	affinity affinity
}

// group is the replicas of one name, all and those in the host's own domain.
type group struct {
	all    []*target
	local  []*target
	member map[*target]bool
	// service is the recent mean service time over the group.
	service float64
}

// New returns a router for an entry host in a failure domain. It draws on rnd only.
func New(domain string, s Settings, rnd rand.Source) *Router {
	return &Router{
		settings: s,
		domain:   domain,
		rnd:      rand.New(rnd),
		targets:  map[string]*target{},
		serving:  map[string]*group{},
		fixes:    corrections{},
		affinity: newAffinity(s.AffinityEntries, s.AffinityTTL),
	}
}

// SetView replaces the confirmed view, which nobody may change after. What was measured of the targets stays;
// corrections stay until the view shows a newer order, or their time is over.
func (r *Router) SetView(v View, now time.Time) {
	for name, tv := range v.Targets {
		t := r.targetFor(name)
		if t.view.Incarnation != tv.Incarnation {
			t.circuit, t.leavingUntil = circuit{}, time.Time{}
		}
		t.view = tv
	}
	for name := range r.targets {
		if _, kept := v.Targets[name]; !kept {
			delete(r.targets, name)
		}
	}
	r.viewed = v.Serving
	r.fixes.expire(now)
	for name, g := range r.serving {
		if len(v.Serving[name]) == 0 && len(r.fixes[name]) == 0 {
			delete(r.serving, name)
			continue
		}
		g.all, g.local = g.all[:0], g.local[:0]
	}
	for name := range v.Serving {
		r.regroup(name, now)
	}
	for name := range r.fixes {
		r.regroup(name, now)
	}
}

// Serves reports whether the router knows a target for a name, whatever its state.
func (r *Router) Serves(name string) bool {
	g := r.serving[name]
	return g != nil && len(g.all) > 0
}

// Pick chooses a target for one attempt. It returns false when no target is known
// to serve the name, or all that do are excluded, leaving or failing; the request
// then waits or is refused.
func (r *Router) Pick(q Request, now time.Time) (string, bool) {
	g := r.serving[q.Name]
	if g == nil || len(g.all) == 0 {
		return "", false
	}
	if t := r.affinity.find(q, now); t != "" {
		if known := r.targets[t]; known != nil && r.holds(g, known, choice{request: q, now: now}) {
			return t, true
		}
	}
	c := choice{q, now, r.rnd.Float64()}
	if t := r.choose(g, c); t != nil {
		return t.name, true
	}
	// Nobody healthy is left: a target on its way back is better than none.
	c.coin, c.request.Careful = 0, false
	if t := r.choose(g, c); t != nil {
		return t.name, true
	}
	return "", false
}

// Least returns the target with the shortest wait of all that Pick may choose. It costs
// a look at each replica, so it is for the few requests that would be refused at the
// better one of two: with eight copies of a model, one of them empty, every second
// request was refused for the queue of another.
func (r *Router) Least(q Request, now time.Time) (string, bool) {
	g := r.serving[q.Name]
	if g == nil {
		return "", false
	}
	var least *target
	for _, t := range g.all {
		if r.usable(t, choice{request: q, now: now}) && (least == nil || r.wait(t, now) < r.wait(least, now)) {
			least = t
		}
	}
	if least == nil {
		return "", false
	}
	return least.name, true
}

// choice is one Pick under way. Its coin is thrown once, so that a target on its
// way back gets its share however often it is drawn.
type choice struct {
	request Request
	now     time.Time
	coin    float64
}

// choose compares two candidates: one of the host's own domain if it has any, and
// one of all.
func (r *Router) choose(g *group, c choice) *target {
	a := r.draw(g.local, c, nil)
	if a == nil {
		a = r.draw(g.all, c, nil)
	}
	b := r.draw(g.all, c, a)
	if a == nil || b == nil {
		return a
	}
	return r.better(a, b, c)
}

// holds reports whether a target with the prefix or adapter may be taken without
// comparison: it serves the name, is no trouble, and has room.
func (r *Router) holds(g *group, t *target, c choice) bool {
	return g.member[t] && r.usable(t, c) &&
		t.circuit.left == 0 && t.slowness(r.settings.SlowRatio) == 1 &&
		t.load(c.now) < r.settings.AffinityLoad
}

// draws is how many times a random member is tried before the list is searched
// in order: most draws succeed at once, and the search keeps the answer exact.
const draws = 4

// draw returns a usable member of list other than not, at random.
func (r *Router) draw(list []*target, c choice, not *target) *target {
	if len(list) == 0 {
		return nil
	}
	for range draws {
		t := list[r.rnd.IntN(len(list))]
		if t != not && r.usable(t, c) {
			return t
		}
	}
	start := r.rnd.IntN(len(list))
	for i := range list {
		t := list[(start+i)%len(list)]
		if t != not && r.usable(t, c) {
			return t
		}
	}
	return nil
}

func (r *Router) usable(t *target, c choice) bool {
	if t.leaving(c.now) || slices.Contains(c.request.Exclude, t.name) {
		return false
	}
	share := t.circuit.share(r.settings, c.now)
	if c.request.Careful {
		return share == 1
	}
	return share > c.coin
}

// better compares two targets by the wait that a request would meet there.
func (r *Router) better(a, b *target, c choice) *target {
	if !c.request.Careful && r.rnd.Float64() < r.settings.TryShare {
		return b
	}
	if r.wait(b, c.now) < r.wait(a, c.now) {
		return b
	}
	return a
}

// wait is a measure of the time a request takes at t: its place among those that
// run there, times the target's pace. An empty slow target still costs its pace.
func (r *Router) wait(t *target, now time.Time) float64 {
	carried := t.load(now)
	if t.view.FailureDomain != r.domain {
		carried += r.settings.LocalBias
	}
	return (1 + carried) * t.slowness(r.settings.SlowRatio)
}

// Started notes that an attempt was handed over.
func (r *Router) Started(name string, q Request, now time.Time) {
	t := r.targetFor(name)
	t.inFlight++
	t.since++
	t.circuit.started(r.settings)
	r.affinity.note(q, name, now)
}

// Finished notes that an attempt ended, and how long it took (0: not known).
func (r *Router) Finished(name string, q Request, o Outcome, took time.Duration, now time.Time) {
	t := r.targets[name]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	t.since = min(t.since, t.inFlight)
	switch o {
	case Served:
		t.circuit.served()
		r.pace(t, q.Name, took)
	case Failed:
		t.circuit.failed(r.settings, now.Add(-took), now)
	case Neutral:
		t.circuit.released()
	}
}

// Reported takes the load that came back with a reply.
func (r *Router) Reported(name string, p Report, now time.Time) {
	t := r.targets[name]
	if t == nil {
		return
	}
	t.report, t.reported = p, now
	t.since = 0
}

// Refused corrects the view from an agent's refusal; resident is the residency
// that came with it, nil if none did. The request goes on with its deadline to
// the next choice, with this target excluded.
func (r *Router) Refused(name string, q Request, kind fault.Kind, resident []string, now time.Time) {
	t := r.targetFor(name)
	switch kind {
	case fault.Leaving:
		t.leavingUntil = now.Add(r.settings.CorrectionTTL)
	case fault.NotHere:
		r.correct(t, q.Name, resident, now)
	}
}

func (r *Router) targetFor(name string) *target {
	t := r.targets[name]
	if t == nil {
		t = &target{name: name, pace: 1}
		r.targets[name] = t
	}
	return t
}

// regroup derives the members of one name from the view and the corrections.
func (r *Router) regroup(name string, now time.Time) {
	g := r.serving[name]
	if g == nil {
		g = &group{member: map[*target]bool{}}
		r.serving[name] = g
	}
	g.all, g.local = g.all[:0], g.local[:0]
	clear(g.member)
	for _, target := range r.fixes.apply(name, r.viewed[name], now) {
		t := r.targets[target]
		if t == nil {
			continue
		}
		g.all = append(g.all, t)
		g.member[t] = true
	}
	slices.SortFunc(g.all, func(a, b *target) int { return cmp.Compare(a.name, b.name) })
	for _, t := range g.all {
		if t.view.FailureDomain == r.domain {
			g.local = append(g.local, t)
		}
	}
}
