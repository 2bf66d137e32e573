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
	settings    Settings
	domain      string
	rnd         *rand.Rand
	source      rand.Source // of rnd; see Preview
	targets     map[string]*target
	sets        map[string]*targetSet
	confirmed   map[string][]Replica
	corrections corrections
	affinity    affinity
	notices     map[string]*notice // by target
	unreachable map[string]bool    // targets whose hosts do not respond
}

// targetSet holds the targets of one name: all of them, and those in the entry host's own
// failure domain.
type targetSet struct {
	all     []*target
	local   []*target
	members map[*target]bool
	// meanServiceTime is the moving mean over all targets of the set, in seconds.
	meanServiceTime float64
}

// New returns a router for an entry host in a failure domain. All random choices use
// rnd.
func New(domain string, s Settings, rnd rand.Source) *Router {
	return &Router{
		settings:    s,
		domain:      domain,
		rnd:         rand.New(rnd),
		source:      rnd,
		targets:     map[string]*target{},
		sets:        map[string]*targetSet{},
		corrections: corrections{},
		notices:     map[string]*notice{},
		affinity:    newAffinity(s.AffinityEntries, s.AffinityTTL),
	}
}

// SetView replaces the confirmed view. The caller must not modify v afterwards. The state
// measured for targets that remain in the view is kept. Corrections stay in force until
// they expire or the view shows a newer order.
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
	r.pruneNotices(now)
	r.confirmed = v.Serving
	r.corrections.expire(now)
	for name, set := range r.sets {
		if len(v.Serving[name]) == 0 && len(r.corrections[name]) == 0 {
			delete(r.sets, name)
			continue
		}
		set.all, set.local = set.all[:0], set.local[:0]
	}
	for name := range v.Serving {
		r.rebuildSet(name, now)
	}
	for name := range r.corrections {
		r.rebuildSet(name, now)
	}
}

// Serves reports whether there is a target for a name, whatever its state.
func (r *Router) Serves(name string) bool {
	set := r.sets[name]
	return set != nil && len(set.all) > 0
}

// Pick chooses a target for one attempt. It returns false if no target is known to serve
// the name, or all that do are excluded, leaving or failing. The caller then lets the
// request wait or refuses it.
func (r *Router) Pick(q Request, now time.Time) (string, bool) {
	set := r.sets[q.Name]
	if set == nil || len(set.all) == 0 {
		return "", false
	}
	inTime := r.someLate(set, q, now)
	cached := r.affinityTarget(set, choice{request: q, now: now, inTime: inTime})
	if cached != nil && q.Cost == nil {
		return cached.name, true
	}
	c := choice{request: q, now: now, sample: r.rnd.Float64(), inTime: inTime}
	if t := r.pickInTime(set, c); t != nil {
		if cached != nil && q.Cost(cached.name) <= q.Cost(t.name) {
			t = cached
		}
		return t.name, true
	}
	if q.HealthyOnly {
		return "", false
	}
	c.inTime = false
	// No healthy target is left: use a recovering one.
	c.sample, c.request.NoProbe = 0, false
	if t := r.pickOfTwo(set, c); t != nil {
		return t.name, true
	}
	return "", false
}

// PickLeastLoaded returns the target with the shortest estimated wait of all that Pick may choose.
// It examines each replica, so it is meant for the few requests that would be refused at
// the better of two random candidates: with eight replicas of a model, one of them idle,
// every second request was refused because of another replica's queue.
func (r *Router) PickLeastLoaded(q Request, now time.Time) (string, bool) {
	return r.PickShortest(q, now, func(string) time.Duration { return 0 })
}

// choice holds the parameters of one Pick. sample is drawn once from [0,1), so that a
// recovering target gets its share however often it is considered.
type choice struct {
	request Request
	now     time.Time
	sample  float64
	inTime  bool // only targets on which the request is expected to end before its deadline
}

// pickOfTwo chooses between two random candidates: one in the host's own failure domain
// if there is any, and one of all.
func (r *Router) pickOfTwo(set *targetSet, c choice) *target {
	a := r.randomUsable(set.local, c, nil)
	if a == nil {
		a = r.randomUsable(set.all, c, nil)
	}
	b := r.randomUsable(set.all, c, a)
	if a == nil || b == nil {
		return a
	}
	return r.better(a, b, c)
}

// affinityTarget returns the target that holds the request's prefix or adapter, nil if there is none that
// may be chosen for it.
func (r *Router) affinityTarget(set *targetSet, c choice) *target {
	t := r.targets[r.affinity.lookup(c.request, c.now)]
	if t == nil || !r.acceptsAffinity(set, t, c) {
		return nil
	}
	return t
}

// acceptsAffinity reports whether a target that holds the prefix or adapter may be chosen
// without comparison: it serves the name, is healthy and not slow, and has room.
func (r *Router) acceptsAffinity(set *targetSet, t *target, c choice) bool {
	return set.members[t] && r.usable(t, c) &&
		t.circuit.stepsLeft == 0 && r.fastEnough(set, t) &&
		t.load(c.now) < r.settings.AffinityMaxLoad
}

// randomTries is the number of random draws before the list is searched in order.
// Most draws succeed at once, and the search finds a usable target if there is any.
const randomTries = 4

// randomUsable returns a random usable target from list other than skip, or nil if there
// is none.
func (r *Router) randomUsable(list []*target, c choice, skip *target) *target {
	if len(list) == 0 {
		return nil
	}
	for range randomTries {
		t := list[r.rnd.IntN(len(list))]
		if t != skip && r.usable(t, c) {
			return t
		}
	}
	start := r.rnd.IntN(len(list))
	for i := range list {
		t := list[(start+i)%len(list)]
		if t != skip && r.usable(t, c) {
			return t
		}
	}
	return nil
}

// usable reports whether the choice may take t. A NoProbe request needs a closed circuit;
// others get a recovering target's allowed share.
func (r *Router) usable(t *target, c choice) bool { return r.rejection(t, c) == "" }

// better returns the target with the lower cost, or the one that is not in a burst if the other one is. A
// fraction SlowProbeShare of the requests that are not NoProbe gets b without comparison.
func (r *Router) better(a, b *target, c choice) *target {
	if !c.request.NoProbe && r.rnd.Float64() < r.settings.SlowProbeShare {
		return b
	}
	if inBurst := a.inBurst(c.now); inBurst != b.inBurst(c.now) {
		if inBurst {
			return b
		}
		return a
	}
	if r.cost(b, c.request, c.now) < r.cost(a, c.request, c.now) {
		return b
	}
	return a
}

// cost returns what a target costs a request: by the request's own function, else the estimated wait.
func (r *Router) cost(t *target, q Request, now time.Time) float64 {
	if q.Cost != nil {
		return q.Cost(t.name)
	}
	return r.estimatedWait(t, now)
}

// estimatedWait returns a relative measure, without unit, of the time that a request takes
// at t: its position in the load, times the announced speed factor, or else the measured
// slowdown factor. An idle slow target still costs its slowdown.
func (r *Router) estimatedWait(t *target, now time.Time) float64 {
	load := t.load(now)
	if t.view.FailureDomain != r.domain {
		load += r.settings.LocalBias
	}
	if t.speed > 0 {
		return (1 + load) * t.speed
	}
	return (1 + load) * t.slowdownFactor(r.settings.SlowRatio)
}

// Started records that an attempt was handed over to a target.
func (r *Router) Started(name string, q Request, now time.Time) {
	t := r.targetFor(name)
	t.inFlight++
	t.startedSinceReport++
	t.circuit.started(r.settings)
	r.affinity.record(q, name, now)
}

// Finished records the outcome of an attempt and how long it took (0: not known).
func (r *Router) Finished(name string, q Request, o Outcome, took time.Duration, now time.Time) {
	t := r.targets[name]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	t.startedSinceReport = min(t.startedSinceReport, t.inFlight)
	switch o {
	case Served:
		t.circuit.served()
		r.updateSlowdown(t, q.Name, took)
	case Failed:
		t.circuit.failed(r.settings, now.Add(-took), now)
	case Neutral:
		t.circuit.released()
	}
}

// Reported records the load that a target returned with a reply.
func (r *Router) Reported(name string, p LoadReport, now time.Time) {
	t := r.targets[name]
	if t == nil {
		return
	}
	t.report, t.reportedAt = p, now
	t.startedSinceReport = 0
}

// Refused corrects the view after an agent's refusal. resident is the residency sent with
// it, or nil if there was none. The caller retries the request under its original deadline
// with this target excluded.
func (r *Router) Refused(name string, q Request, kind fault.Kind, resident []string, now time.Time) {
	t := r.targetFor(name)
	switch kind {
	case fault.Leaving:
		t.leavingUntil = now.Add(r.settings.CorrectionTTL)
	case fault.NotHere:
		r.applyNotHere(t, q.Name, resident, now)
	}
}

// targetFor returns the state of a target, and creates it if needed.
func (r *Router) targetFor(name string) *target {
	t := r.targets[name]
	if t == nil {
		t = &target{name: name, slowdown: 1}
		r.targets[name] = t
	}
	return t
}

// rebuildSet derives the targets of one name from the view and the corrections.
func (r *Router) rebuildSet(name string, now time.Time) {
	set := r.sets[name]
	if set == nil {
		set = &targetSet{members: map[*target]bool{}}
		r.sets[name] = set
	}
	set.all, set.local = set.all[:0], set.local[:0]
	clear(set.members)
	for _, target := range r.corrections.apply(name, r.confirmed[name], now) {
		t := r.targets[target]
		if t == nil {
			continue
		}
		set.all = append(set.all, t)
		set.members[t] = true
	}
	slices.SortFunc(set.all, func(a, b *target) int { return cmp.Compare(a.name, b.name) })
	for _, t := range set.all {
		if t.view.FailureDomain == r.domain {
			set.local = append(set.local, t)
		}
	}
}
