package targetspeed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is the time after which a sample counts 1/e in the mean: several bursts of up to
	// 1 s, and still less than a demand wave.
	timeConstant = 5 * time.Second
	// publishedStep is the resolution of published speeds, in percent of the usual time.
	publishedStep = 10
	// publishedChange is the ratio of a change to the published speed from which it is published.
	publishedChange = 0.15
	// minSamples is the weight of samples from which a first speed is published: a single one may be
	// from a burst.
	minSamples = 3
	// maxPercent bounds the mean of a sample; see platform.Load.
	maxPercent = 10_000
	// maxResponses bounds the weight of a sample: no entry host receives more between two polls.
	maxResponses = 100_000
)

// Table is the leader's record of the lasting speeds. It is empty after a leader change.
type Table struct {
	rows map[string]*row // by instance
}

// row is the exponentially weighted mean of a target's samples: sum / weight.
type row struct {
	sum, weight float64
	updatedAt   time.Time
	published   int // percent; 0: not known
}

// Change is a change of a target's published speed, in percent of the usual time; 0: not known.
type Change struct {
	Instance string
	Before   int
	Percent  int
}

// NewTable returns a Table without speeds.
func NewTable() *Table { return &Table{rows: map[string]*row{}} }

// Add adds the samples of an entry host that arrived at now, and returns the published speeds that
// changed, in the order of the samples. Invalid samples are left out.
func (t *Table) Add(samples []Sample, now time.Time) []Change {
	var changes []Change
	for _, s := range samples {
		if !s.valid() {
			continue
		}
		if c, changed := t.add(s, now); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

func (s Sample) valid() bool {
	mean := s.PercentSum / float64(s.Responses)
	return s.Instance != "" && s.Responses > 0 && s.Responses <= maxResponses && mean > 0 && mean <= maxPercent
}

func (t *Table) add(s Sample, now time.Time) (Change, bool) {
	r := t.rows[s.Instance]
	if r == nil {
		r = &row{updatedAt: now}
		t.rows[s.Instance] = r
	}
	keep := math.Exp(-max(0, now.Sub(r.updatedAt)).Seconds() / timeConstant.Seconds())
	r.sum = keep*r.sum + s.PercentSum
	r.weight = keep*r.weight + float64(s.Responses)
	r.updatedAt = now
	before := r.published
	r.publish()
	return Change{s.Instance, before, r.published}, before != r.published
}

// publish takes the mean over as the published speed if it differs enough.
func (r *row) publish() {
	if r.published == 0 && r.weight < minSamples {
		return
	}
	mean := r.sum / r.weight
	if math.Abs(mean-float64(r.published)) < publishedChange*float64(r.published) {
		return
	}
	r.published = max(publishedStep, publishedStep*int(math.Round(mean/publishedStep)))
}

// Expire drops the speeds without a sample for MaxAge, and those of instances for which keep returns
// false. It returns the published ones among them, in order of instance.
func (t *Table) Expire(keep func(instance string) bool, now time.Time) []Change {
	var changes []Change
	for _, instance := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[instance]
		if keep(instance) && now.Sub(r.updatedAt) < MaxAge {
			continue
		}
		delete(t.rows, instance)
		if r.published > 0 {
			changes = append(changes, Change{instance, r.published, 0})
		}
	}
	return changes
}

// Percent returns the published speed of a target, in percent of the usual time; 0: not known.
func (t *Table) Percent(instance string) int {
	if r := t.rows[instance]; r != nil {
		return r.published
	}
	return 0
}

// Known reports whether the speed of any target is published.
func (t *Table) Known() bool {
	for _, r := range t.rows { // any order: one decides
		if r.published > 0 {
			return true
		}
	}
	return false
}

// Published returns the published speeds, in percent of the usual time, by instance.
func (t *Table) Published() map[string]int {
	out := map[string]int{}
	for instance, r := range t.rows {
		if r.published > 0 {
			out[instance] = r.published
		}
	}
	return out
}
