package residency

import "time"

// LoadLimiter limits the loads from the weight store over the whole fleet, and the copies of a
// model that are added at once. It is not safe for concurrent use.
//
// Load pattern: a shift of demand makes many targets load from the store at once.
// Without it: above the store's capacity all loads slow down in proportion and finish late together,
// or more loads begin in a window than the platform allows.
// Rule: one limiter, at the control leader, grants permits. A new leader, which lacks its
// predecessor's permits, assumes a full window.
type LoadLimiter struct {
	perSecond       float64 // limit on the loads from the store that begin, as a mean over window
	window          time.Duration
	storeLoadStarts []time.Time          // within the window, oldest first
	permits         map[string]permit    // by target host
	storeLimit      int                  // limit on concurrent loads from the store, adapted to how long they take
	lastSlowLoad    time.Time            // when a load from the store was last found too slow
	deferredSince   map[string]time.Time // by model: when adding a copy from the store was first deferred
	slowSince       map[string]time.Time // by model: when adding a copy at a slow target was first deferred
	added           []addedCopy          // planned copies whose load has ended lately, oldest first
}

// permit is a granted load that has not ended.
type permit struct {
	grantedAt  time.Time
	load       LoadRequest
	concurrent int // loads from the store under way when it began, including itself
}

// LoadRequest describes a load that a host requests a permit for.
type LoadRequest struct {
	Model     string
	FromStore bool // from the weight store; otherwise from the target's own disk or memory
	AddsCopy  bool // one more copy of a model that others hold
	Copies    int  // number of targets that hold the model
	// LocalCopies is the number of targets that have the weights in memory or on disk and could load
	// them: they do not hold the model, load nothing and are below capacity. Where copies are planned, these
	// come first at each target, so that those that load another model or are saturated count too.
	LocalCopies     int
	UncontendedTime time.Duration // load time without other loads from the store; 0: not known
	Wanted          int           // copies that the plan wants; 0: not planned
	Loading         int           // targets that load the model as they report it, if it is planned
	Targets         int           // number of targets that can run the model, if it is planned
	Slow            bool          // the target takes over 1.5 times as long for its work as the fastest one
}

const (
	// Limits on concurrent loads from the store. How many the store serves at full speed is not
	// in the configuration, so the limit starts at initialStoreLimit and is adapted.
	initialStoreLimit = 3
	minStoreLimit     = 2
	maxStoreLimit     = 8
	// Ratios of a load's duration to its uncontended time. Above slowLoadRatio too many loads ran
	// concurrently; below fastLoadRatio there may have been room for more.
	slowLoadRatio = 1.3
	fastLoadRatio = 1.12
	// permitTimeout ends a permit whose load was not reported as ended. The limit is not raised
	// within this time after a slow load.
	permitTimeout = 20 * time.Second
	// storeDeferral is how long adding a copy from the store is deferred in favor of targets that
	// have the weights in memory or on disk. A request later than deferralExpiry after the
	// end of the deferral begins a new one.
	storeDeferral = 1500 * time.Millisecond
	// plannedStoreDeferral is storeDeferral for a planned copy: a target offers one after the unload under way
	// there, which takes up to 2.5 s. After 5 s the copies of a model whose demand grew came too late.
	plannedStoreDeferral = 2500 * time.Millisecond
	deferralExpiry       = 2500 * time.Millisecond
	// maxLoadStarts bounds the starts of loads that a new limiter assumes; an operator may state any limit.
	maxLoadStarts = 10_000
	// permitRetryDelay is the least delay before a refused host may try again.
	permitRetryDelay = 200 * time.Millisecond
)

// NewLoadLimiter returns a limiter that permits perSecond loads from the store on average over
// window. Its window is full at now: the loads that a predecessor may have permitted are not known.
func NewLoadLimiter(perSecond float64, window time.Duration, now time.Time) *LoadLimiter {
	g := &LoadLimiter{perSecond: perSecond, window: window, permits: map[string]permit{}, deferredSince: map[string]time.Time{}, slowSince: map[string]time.Time{}, storeLimit: initialStoreLimit}
	n := 0
	if loads := perSecond * window.Seconds(); loads > 0 {
		n = int(min(loads, maxLoadStarts))
	}
	for i := range n {
		g.storeLoadStarts = append(g.storeLoadStarts, now.Add(-window+time.Duration(float64(window)*float64(i)/float64(n))))
	}
	return g
}

// Configure sets a new limit on the loads from the store that begin in a window.
func (g *LoadLimiter) Configure(perSecond float64, window time.Duration) {
	g.perSecond, g.window = perSecond, window
}

// TryAcquire grants a host a permit for a load, or returns the delay before it should try again.
func (g *LoadLimiter) TryAcquire(host string, l LoadRequest, now time.Time) (granted bool, retryAfter time.Duration) {
	g.expire(now)
	if p, ok := g.permits[host]; ok {
		g.noteAdded(p.load, now)
	}
	delete(g.permits, host) // a host loads one model at a time: its earlier load has ended
	store, growing := g.countLoads(l.Model)
	if l.Wanted > 0 {
		growing = max(growing, l.Loading) // a predecessor's permits are not known
	}
	switch {
	case l.AddsCopy && growing >= l.maxGrowth():
		return false, permitRetryDelay
	case l.AddsCopy && l.Wanted > 0 && g.copiesUnderWay() >= max(1, l.Targets/2):
		// Half of the targets stay free for the models that requests wait for.
		return false, permitRetryDelay
	case l.AddsCopy && l.FromStore && g.deferToLocalCopies(l, growing, now):
		return false, permitRetryDelay
	case l.AddsCopy && l.Wanted > 0 && l.Slow && deferCopy(g.slowSince, l.Model, storeDeferral, now):
		return false, permitRetryDelay
	case l.FromStore && store >= g.storeLimit-g.reservedSlots(l):
		return false, g.untilStoreSlot(now)
	case l.FromStore && float64(len(g.storeLoadStarts)+1) > g.perSecond*g.window.Seconds():
		return false, permitRetryDelay
	}
	if l.Wanted > 0 && l.AddsCopy && !l.FromStore {
		delete(g.deferredSince, l.Model) // the next missing copy is left to such targets as long
	}
	if l.FromStore {
		g.storeLoadStarts = append(g.storeLoadStarts, now)
		store++
	}
	g.permits[host] = permit{now, l, store}
	return true, 0
}

// deferToLocalCopies reports whether a load of one more copy from the store should be refused for
// now, so that a target with the weights in memory or on disk can add the copy instead.
//
// Load pattern: demand returns to a model whose weights are still on the disks of several targets.
// Without it: a target without them asks first, and its load from the store exhausts the
// limit on added copies for 6 s, in which loads from disk could have added four copies.
// Rule: refuse to add a copy from the store for storeDeferral, then allow it, as the other targets
// may be occupied in ways that are not known here. Planned copies that are more than such targets are not deferred.
// growing is the number of copies that are being added to the model.
func (g *LoadLimiter) deferToLocalCopies(l LoadRequest, growing int, now time.Time) bool {
	if l.Wanted > 0 && l.LocalCopies < l.Wanted-l.Copies-growing {
		return false
	}
	if l.LocalCopies == 0 {
		delete(g.deferredSince, l.Model)
		return false
	}
	wait := storeDeferral
	if l.Wanted > 0 {
		wait = plannedStoreDeferral
	}
	return deferCopy(g.deferredSince, l.Model, wait, now)
}

// deferCopy reports whether a model's copy is to be deferred for some time, given since when copies were by model.
func deferCopy(deferred map[string]time.Time, model string, wait time.Duration, now time.Time) bool {
	since, known := deferred[model]
	if !known || now.Sub(since) > wait+deferralExpiry {
		deferred[model] = now
		return true
	}
	return now.Sub(since) < wait
}

// reservedSlots returns how many slots a load must leave free for copies of busy models. Many
// requests wait for such a copy, but often only one for a rarely used model.
func (g *LoadLimiter) reservedSlots(l LoadRequest) int {
	if l.AddsCopy {
		return 0
	}
	return 1
}

// countLoads returns the number of loads from the store under way, and the number of copies that
// are being added to a model.
func (g *LoadLimiter) countLoads(model string) (store, growing int) {
	for _, p := range g.permits {
		if p.load.FromStore {
			store++
		}
		if p.load.AddsCopy && p.load.Model == model {
			growing++
		}
	}
	return store, growing + g.addedLately(model)
}

// untilStoreSlot returns how long it is until the first of the running loads from the store is
// expected to end, at least permitRetryDelay.
func (g *LoadLimiter) untilStoreSlot(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, p := range g.permits {
		if left := p.load.UncontendedTime - now.Sub(p.grantedAt); p.load.FromStore && left > 0 && (best == 0 || left < best) {
			best = left
		}
	}
	return max(permitRetryDelay, best)
}

// Release records that a host's load of a model has ended, or will not begin, and adapts the
// limit on concurrent loads to its duration. A load that ended within half its uncontended time
// never began and does not change the limit.
func (g *LoadLimiter) Release(host, model string, now time.Time) {
	p, ok := g.permits[host]
	if !ok || p.load.Model != model {
		return // late report: the host has a permit for another load by now, or none
	}
	delete(g.permits, host)
	g.noteAdded(p.load, now)
	if !p.load.FromStore || p.load.UncontendedTime <= 0 || now.Sub(p.grantedAt) < p.load.UncontendedTime/2 {
		return
	}
	ratio := now.Sub(p.grantedAt).Seconds() / p.load.UncontendedTime.Seconds()
	switch {
	case ratio > slowLoadRatio && p.concurrent > minStoreLimit:
		g.storeLimit, g.lastSlowLoad = max(minStoreLimit, min(g.storeLimit, p.concurrent-1)), now
	case ratio < fastLoadRatio && p.concurrent >= g.storeLimit-1 && now.Sub(g.lastSlowLoad) > permitTimeout:
		g.storeLimit = min(maxStoreLimit, g.storeLimit+1)
	}
}

// expire removes load starts that have left the window, and permits that have timed out.
func (g *LoadLimiter) expire(now time.Time) {
	for len(g.storeLoadStarts) > 0 && now.Sub(g.storeLoadStarts[0]) > g.window {
		g.storeLoadStarts = g.storeLoadStarts[1:]
	}
	g.expireAdded(now)
	for host, p := range g.permits {
		if now.Sub(p.grantedAt) > permitTimeout {
			delete(g.permits, host)
		}
	}
}
