package targetstatus

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Load pattern: 120 agents report four times a second; replies carry the demand for 350 models.
// Without it: the replies use a quarter of the leader's link, and replies to entry hosts
// queue behind them.
// Rule: an agent is sent the models whose demand changed since its last report, other than by
// the decay that it computes itself.

const (
	// demandTolerance is the maximum relative error of an agent's demand for a model.
	demandTolerance = 0.2
	// negligibleRate is the rate per second below which differences are not sent: no decision
	// depends on them.
	negligibleRate = 2 * minRate
	// idleEntryTTL is how long a model that is neither requested nor held stays in the
	// feed, so that agents receive the end of its demand as a change.
	idleEntryTTL = 2 * ReportTTL
)

// DemandFeed is the leader's versioned record of the demand that it published. It is not
// safe for concurrent use.
type DemandFeed struct {
	version    uint64
	minVersion uint64 // an agent with an earlier version needs all entries
	entries    map[string]*feedEntry
}

type feedEntry struct {
	demand  Demand
	at      time.Time
	version uint64
}

// NewDemandFeed returns a feed without entries.
func NewDemandFeed() *DemandFeed { return &DemandFeed{entries: map[string]*feedEntry{}} }

// Version returns the version of the last change; it only increases.
func (f *DemandFeed) Version() uint64 { return f.version }

// Publish records the demand as of now. A model that sum lacks has no demand.
func (f *DemandFeed) Publish(sum []Demand, now time.Time) {
	next := f.version + 1
	present := make(map[string]bool, len(sum))
	for _, d := range sum {
		present[d.Model] = true
		f.publish(d, next, now)
	}
	for model, e := range f.entries {
		if present[model] {
			continue
		}
		f.publish(Demand{Model: model}, next, now)
		if now.Sub(e.at) > idleEntryTTL {
			f.minVersion = max(f.minVersion, e.version)
			delete(f.entries, model)
		}
	}
}

func (f *DemandFeed) publish(d Demand, version uint64, now time.Time) {
	e := f.entries[d.Model]
	if e != nil && e.demand.decayed(now.Sub(e.at)).approxEqual(d) {
		return
	}
	if e == nil {
		e = &feedEntry{}
		f.entries[d.Model] = e
	}
	*e = feedEntry{d, now, version}
	f.version = version
}

// Since returns the demand that changed after a version, decayed to now and ordered by model
// name. Whole reports that changed has all entries and replaces what the agent has.
func (f *DemandFeed) Since(version uint64, now time.Time) (changed []Demand, whole bool) {
	whole = version == 0 || version > f.version || version < f.minVersion
	for _, e := range f.entries { // any order: sorted below
		if whole || e.version > version {
			changed = append(changed, e.demand.decayed(now.Sub(e.at)))
		}
	}
	slices.SortFunc(changed, byModel)
	return changed, whole
}

func byModel(a, b Demand) int { return cmp.Compare(a.Model, b.Model) }

// decayed returns the demand after an interval without requests.
func (d Demand) decayed(elapsed time.Duration) Demand {
	d.ValuePerSecond *= math.Exp(-max(0, elapsed.Seconds()) / demandTimeConstant.Seconds())
	return d
}

// approxEqual reports whether two demands have equal counts of copies, held and wanted, and rates that are both
// below negligibleRate or differ by at most demandTolerance.
func (d Demand) approxEqual(other Demand) bool {
	larger := max(d.ValuePerSecond, other.ValuePerSecond)
	diff := math.Abs(d.ValuePerSecond - other.ValuePerSecond)
	return d.Copies == other.Copies && d.Saturated == other.Saturated && d.Wanted == other.Wanted && (larger < negligibleRate || diff <= demandTolerance*larger)
}

// DemandCache is an agent's copy of the demand. It is not safe for concurrent use.
type DemandCache struct {
	epoch   uint64
	version uint64
	entries map[string]cacheEntry
	updated time.Time // of the last applied update
}

type cacheEntry struct {
	demand Demand
	at     time.Time
}

// DemandUpdate is a reply from the leader's DemandFeed.
type DemandUpdate struct {
	Epoch   uint64 // term of the leader that sent it
	Version uint64 // of the leader's feed
	Whole   bool   // Changed has all entries and replaces the cache's
	Changed []Demand
}

// NewDemandCache returns an empty cache.
func NewDemandCache() *DemandCache { return &DemandCache{entries: map[string]cacheEntry{}} }

// Position returns the epoch and version of the last applied update, to request the next.
func (c *DemandCache) Position() (epoch, version uint64) { return c.epoch, c.version }

// Apply applies an update.
func (c *DemandCache) Apply(u DemandUpdate, now time.Time) {
	if u.Whole {
		clear(c.entries)
	}
	for _, d := range u.Changed {
		c.entries[d.Model] = cacheEntry{d, now}
	}
	c.epoch, c.version, c.updated = u.Epoch, u.Version, now
}

// planTTL is how long an agent follows the plan of copies without updates: a new leader has a plan after
// a second, and its agents find it within another one or two.
const planTTL = 5 * time.Second

// PlanExpired reports whether the numbers of wanted copies are out of date, as no update was received for 5 s.
func (c *DemandCache) PlanExpired(now time.Time) bool { return now.Sub(c.updated) > planTTL }

// Current returns the demand decayed to now, ordered by model name. It removes models that
// are neither held, wanted nor requested.
func (c *DemandCache) Current(now time.Time) []Demand {
	maps.DeleteFunc(c.entries, func(_ string, e cacheEntry) bool {
		return e.demand.Copies == 0 && e.demand.Wanted == 0 && e.demand.decayed(now.Sub(e.at)).ValuePerSecond < minRate
	})
	out := make([]Demand, 0, len(c.entries))
	for _, e := range c.entries { // any order: sorted below
		out = append(out, e.demand.decayed(now.Sub(e.at)))
	}
	slices.SortFunc(out, byModel)
	return out
}
