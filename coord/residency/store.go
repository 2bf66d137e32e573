package residency

import "time"

// Gate limits loads from the weight store over the whole fleet.
//
// Load pattern: a shift of demand makes many targets load from the store at once.
// Beyond what it serves at full speed each load takes longer in proportion, so that
// all finish together at the end, and the number of loads that may begin in a window
// is limited by the platform.
//
// Without it: all of them finish late together, or exceed the platform's limit.
// Rule: one Gate, at the control leader, counts them. A new leader, which lacks its
// predecessor's permits, takes the window for full.
type Gate struct {
	perSecond float64
	window    time.Duration
	begun     []time.Time
	running   map[string]permitted // by target host
	most      int                  // loads from the store at once
	slowed    time.Time            // when a load last took too long
	passedBy  map[string]time.Time // since when copies of a model are left to nearer targets
}

type permitted struct {
	at     time.Time
	load   Load
	beside int // loads from the store that ran when it began, itself included
}

// Load is a load that asks for a permit.
type Load struct {
	Model  string
	Store  bool          // from the weight store; else from the target's own disk or memory
	Grow   bool          // one more copy of a model that others hold
	Copies int           // targets that hold the model
	Near   int           // targets below capacity that have a copy of it in memory or on disk, and do not hold it
	Usual  time.Duration // that it takes alone
}

const (
	// firstAtOnce is how many loads from the store run together before the time of any is
	// known. How many it serves at full speed is not in the configuration.
	firstAtOnce = 3
	leastAtOnce = 2
	mostAtOnce  = 8
	// A load that took longer than slowTimes its usual time had too many beside it;
	// one that took less than quickTimes had not.
	slowTimes  = 1.3
	quickTimes = 1.12
	// loadLife is when a load whose end was not reported counts as over.
	loadLife = 20 * time.Second
	// nearPatience delays growth from the weight store while a target with a local copy can
	// still take it; nearForgotten without a request for a permit ends the delay.
	nearPatience  = 1500 * time.Millisecond
	nearForgotten = 4 * time.Second
	// gatePause is when to ask again.
	gatePause = 200 * time.Millisecond
)

// NewGate returns a gate whose window is full at now.
func NewGate(perSecond float64, window time.Duration, now time.Time) *Gate {
	g := &Gate{perSecond: perSecond, window: window, running: map[string]permitted{}, passedBy: map[string]time.Time{}, most: firstAtOnce}
	n := int(perSecond * window.Seconds())
	for i := range n {
		g.begun = append(g.begun, now.Add(-window+time.Duration(float64(window)*float64(i)/float64(n))))
	}
	return g
}

// Configure takes a new limit.
func (g *Gate) Configure(perSecond float64, window time.Duration) {
	g.perSecond, g.window = perSecond, window
}

// Ask permits a host's load, or says when to ask again.
func (g *Gate) Ask(host string, l Load, now time.Time) (granted bool, again time.Duration) {
	g.expire(now)
	delete(g.running, host) // one load at a time: an earlier one has ended
	store, growing := g.count(l.Model)
	switch {
	case l.Grow && growing >= max(1, l.Copies):
		// A model at most doubles at a time: what more copies bring is seen only
		// when they have come.
		return false, gatePause
	case l.Grow && l.Store && g.leaveToNearer(l, now):
		return false, gatePause
	case l.Store && store >= g.most-g.kept(l):
		return false, g.earliest(now)
	case l.Store && float64(len(g.begun)+1) > g.perSecond*g.window.Seconds():
		return false, gatePause
	}
	if l.Store {
		g.begun = append(g.begun, now)
		store++
	}
	g.running[host] = permitted{now, l, store}
	return true, 0
}

// leaveToNearer reports whether one more copy of a model should be loaded by a target with a
// local copy, in place of the store.
//
// Load pattern: demand moves back to a model that was busy before. Its copies lie on the
// disks of several targets, seconds nearer than the store, but any target at ease may ask
// first. Its load from the store took the one place that the model had to grow by, for six
// seconds in which a load from disk would have brought four copies.
//
// Nearer targets are given a moment to ask: they may have more to do than is known here.
func (g *Gate) leaveToNearer(l Load, now time.Time) bool {
	if l.Near == 0 {
		delete(g.passedBy, l.Model)
		return false
	}
	since, known := g.passedBy[l.Model]
	if !known || now.Sub(since) > nearForgotten {
		g.passedBy[l.Model] = now
		return true
	}
	return now.Sub(since) < nearPatience
}

// kept is how many places are kept free for copies of busy models: many requests wait
// for one of these, and one for a rare model.
func (g *Gate) kept(l Load) int {
	if l.Grow {
		return 0
	}
	return 1
}

// count returns the loads from the store and the growing copies of a model.
func (g *Gate) count(model string) (store, growing int) {
	for _, p := range g.running {
		if p.load.Store {
			store++
		}
		if p.load.Grow && p.load.Model == model {
			growing++
		}
	}
	return store, growing
}

// earliest is when the first of the running loads from the store is expected to end.
func (g *Gate) earliest(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, p := range g.running {
		if left := p.load.Usual - now.Sub(p.at); p.load.Store && left > 0 && (best == 0 || left < best) {
			best = left
		}
	}
	return max(gatePause, best)
}

// Done notes that a host's load of a model has ended, and learns from how long it
// took. Of one that ended sooner than any load can, nothing is learnt: it never began.
func (g *Gate) Done(host, model string, now time.Time) {
	p, ok := g.running[host]
	if !ok || p.load.Model != model {
		return // reported late: the host has asked for another since
	}
	delete(g.running, host)
	if !p.load.Store || p.load.Usual <= 0 || now.Sub(p.at) < p.load.Usual/2 {
		return
	}
	took := now.Sub(p.at).Seconds() / p.load.Usual.Seconds()
	switch {
	case took > slowTimes && p.beside > leastAtOnce:
		g.most, g.slowed = max(leastAtOnce, min(g.most, p.beside-1)), now
	case took < quickTimes && p.beside >= g.most-1 && now.Sub(g.slowed) > loadLife:
		g.most = min(mostAtOnce, g.most+1)
	}
}

func (g *Gate) expire(now time.Time) {
	for len(g.begun) > 0 && now.Sub(g.begun[0]) > g.window {
		g.begun = g.begun[1:]
	}
	for host, p := range g.running {
		if now.Sub(p.at) > loadLife {
			delete(g.running, host)
		}
	}
}
