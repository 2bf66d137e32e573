package standings

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Load pattern: 120 agents report four times a second, and the demand for 350 models is
// part of each reply.
// Without it: the replies take a quarter of the leader's link, and replies to entry hosts
// queue behind them.
// Rule: an agent is sent the models whose demand has changed since its last report, other
// than by the decay that the agent computes itself.

const (
	// demandTolerance is the part by which an agent's demand for a model may be off.
	demandTolerance = 0.2
	// negligible is a demand that no decision depends on.
	negligible = 2 * forgotten
	// keptUnchanged is how long a model that is neither asked for nor held stays in the
	// feed, so that agents get the end of its demand as a change.
	keptUnchanged = 2 * ReportLife
)

// DemandFeed is the leader's record of the demand that it published. It is not safe for
// concurrent use.
type DemandFeed struct {
	version uint64
	floor   uint64 // a holder of an earlier version needs the whole
	entries map[string]*published
}

type published struct {
	demand  Demand
	at      time.Time
	version uint64
}

// NewDemandFeed returns a feed without entries.
func NewDemandFeed() *DemandFeed { return &DemandFeed{entries: map[string]*published{}} }

// Version grows with each change.
func (f *DemandFeed) Version() uint64 { return f.version }

// Publish records the demand at a time.
func (f *DemandFeed) Publish(sum []Demand, now time.Time) {
	next := f.version + 1
	named := make(map[string]bool, len(sum))
	for _, d := range sum {
		named[d.Model] = true
		f.publish(d, next, now)
	}
	for model, e := range f.entries {
		if named[model] {
			continue
		}
		f.publish(Demand{Model: model}, next, now)
		if now.Sub(e.at) > keptUnchanged {
			f.floor = max(f.floor, e.version)
			delete(f.entries, model)
		}
	}
}

func (f *DemandFeed) publish(d Demand, version uint64, now time.Time) {
	e := f.entries[d.Model]
	if e != nil && e.demand.decayed(now.Sub(e.at)).near(d) {
		return
	}
	if e == nil {
		e = &published{}
		f.entries[d.Model] = e
	}
	*e = published{d, now, version}
	f.version = version
}

// Since returns the demand that changed after a version, in order of name. Whole says that
// it is all there is.
func (f *DemandFeed) Since(version uint64, now time.Time) (changed []Demand, whole bool) {
	whole = version == 0 || version > f.version || version < f.floor
	for _, e := range f.entries { // any order: sorted below
		if whole || e.version > version {
			changed = append(changed, e.demand.decayed(now.Sub(e.at)))
		}
	}
	slices.SortFunc(changed, byModel)
	return changed, whole
}

func byModel(a, b Demand) int { return cmp.Compare(a.Model, b.Model) }

// decayed is the demand after a time in which nobody asked.
func (d Demand) decayed(elapsed time.Duration) Demand {
	d.WorthPerSecond *= math.Exp(-max(0, elapsed.Seconds()) / useMemory.Seconds())
	return d
}

// near reports whether a demand is as good as another one.
func (d Demand) near(other Demand) bool {
	more := max(d.WorthPerSecond, other.WorthPerSecond)
	off := math.Abs(d.WorthPerSecond - other.WorthPerSecond)
	return d.Copies == other.Copies && d.Pressed == other.Pressed && (more < negligible || off <= demandTolerance*more)
}

// DemandCache is an agent's copy of the demand. It is not safe for concurrent use.
type DemandCache struct {
	epoch   uint64
	version uint64
	entries map[string]cached
}

type cached struct {
	demand Demand
	at     time.Time
}

// DemandUpdate is what a leader's feed sends.
type DemandUpdate struct {
	Epoch   uint64 // of the leader's table
	Version uint64
	Whole   bool
	Changed []Demand
}

// NewDemandCache returns an empty cache.
func NewDemandCache() *DemandCache { return &DemandCache{entries: map[string]cached{}} }

// Position returns the newest update that the cache has.
func (c *DemandCache) Position() (epoch, version uint64) { return c.epoch, c.version }

// Take applies an update.
func (c *DemandCache) Take(u DemandUpdate, now time.Time) {
	if u.Whole {
		clear(c.entries)
	}
	for _, d := range u.Changed {
		c.entries[d.Model] = cached{d, now}
	}
	c.epoch, c.version = u.Epoch, u.Version
}

// Current returns the demand at a time, in order of name.
func (c *DemandCache) Current(now time.Time) []Demand {
	maps.DeleteFunc(c.entries, func(_ string, e cached) bool {
		return e.demand.Copies == 0 && e.demand.decayed(now.Sub(e.at)).WorthPerSecond < forgotten
	})
	out := make([]Demand, 0, len(c.entries))
	for _, e := range c.entries { // any order: sorted below
		out = append(out, e.demand.decayed(now.Sub(e.at)))
	}
	slices.SortFunc(out, byModel)
	return out
}
