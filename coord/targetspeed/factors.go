package targetspeed

import (
	"maps"
	"slices"
	"time"
)

// MaxAge is how long a speed stays known after it was last confirmed: at the leader by a sample, at
// an entry host by a response of the leader.
const MaxAge = 20 * time.Second

// Published is the lasting speed of a target as the leader publishes it.
type Published struct {
	Instance string
	Service  string
	Percent  int // of the usual time; 0: not known
}

// Factors are the lasting speeds at an entry host.
//
// Load pattern: the control leader changes under load, and the new one knows no speed for seconds.
// Without it: hosts send a slow target its full share again until the new leader has averaged samples.
// Rule: speeds of the former leader stay until the new one publishes its own, for MaxAge at most.
type Factors struct {
	epoch   uint64            // of the leader that answered last
	known   map[string]known  // by instance
	medians map[string]median // by service
}

// known is a published speed.
type known struct {
	service string
	factor  float64
	former  bool      // it was published by a former leader
	until   time.Time // when it becomes unknown unless it is confirmed
}

type median struct {
	factor float64
	until  time.Time // when the last speed of the service becomes unknown
}

// NewFactors returns Factors without a known speed.
func NewFactors() *Factors {
	return &Factors{known: map[string]known{}, medians: map[string]median{}}
}

// Apply records a response of the leader: epoch identifies the leader, changed are the targets whose
// state it sends. It confirms all speeds that this leader published before.
func (f *Factors) Apply(epoch uint64, changed []Published, now time.Time) {
	if epoch != f.epoch {
		f.markFormer()
	}
	f.epoch = epoch
	for _, p := range changed {
		f.set(p, now)
	}
	for instance, k := range f.known { // any order: entries are independent
		if !k.former {
			k.until = now.Add(MaxAge)
			f.known[instance] = k
		}
	}
	f.refresh(now)
}

func (f *Factors) markFormer() {
	for instance, k := range f.known { // any order: entries are independent
		k.former = true
		f.known[instance] = k
	}
}

func (f *Factors) set(p Published, now time.Time) {
	if p.Percent > 0 {
		f.known[p.Instance] = known{service: p.Service, factor: float64(p.Percent) / 100, until: now.Add(MaxAge)}
		return
	}
	if k, ok := f.known[p.Instance]; ok && !k.former {
		delete(f.known, p.Instance)
	}
}

// Retain drops the speeds of instances for which keep returns false.
func (f *Factors) Retain(keep func(instance string) bool, now time.Time) {
	maps.DeleteFunc(f.known, func(instance string, _ known) bool { return !keep(instance) })
	f.refresh(now)
}

// refresh drops expired speeds and computes the medians.
func (f *Factors) refresh(now time.Time) {
	byService := map[string][]float64{}
	clear(f.medians)
	for instance, k := range f.known {
		if !now.Before(k.until) {
			delete(f.known, instance)
			continue
		}
		byService[k.service] = append(byService[k.service], k.factor)
		if m := f.medians[k.service]; m.until.Before(k.until) {
			f.medians[k.service] = median{until: k.until}
		}
	}
	for service, list := range byService {
		f.medians[service] = median{factor: middle(list), until: f.medians[service].until}
	}
}

// middle returns the median of a list that is not empty. It sorts the list.
func middle(list []float64) float64 {
	slices.Sort(list)
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}

// Lasting returns a target's own lasting speed in percent of the usual time; 0: not known.
func (f *Factors) Lasting(instance string, now time.Time) float64 {
	k, ok := f.known[instance]
	if !ok || !now.Before(k.until) {
		return 0
	}
	return 100 * k.factor
}

// Factor returns by how much the time of work at a target of a service is multiplied, and whether
// any target of the service has a known speed. A target without one has the median of the others, or
// 1 if none is known.
func (f *Factors) Factor(instance, service string, now time.Time) (factor float64, announced bool) {
	if k, ok := f.known[instance]; ok && now.Before(k.until) {
		return k.factor, true
	}
	if !f.Announced(service, now) {
		return 1, false
	}
	return f.medians[service].factor, true
}

// Announced reports whether a speed of any target of the service is known.
func (f *Factors) Announced(service string, now time.Time) bool {
	m, ok := f.medians[service]
	return ok && now.Before(m.until)
}

// Slowest returns the largest known factor, or 1 if none is known.
func (f *Factors) Slowest(now time.Time) float64 {
	slowest := 0.0
	for _, k := range f.known { // any order: the maximum does not depend on it
		if now.Before(k.until) {
			slowest = max(slowest, k.factor)
		}
	}
	if slowest == 0 {
		return 1
	}
	return slowest
}
