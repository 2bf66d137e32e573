package experiment

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/placement"
	"cowsliptiller/coord/routing"
)

// plain is the baseline: first come first served, random target, rate divided by
// hosts, load on demand, unload after a fixed time.
func plain() policy {
	return policy{
		name:    "plain",
		limiter: newPlainLimiter,
		room:    func(w *world, _ int) room { return &plainRoom{w: w, queues: map[string][]*request{}} },
		chooser: func(w *world, _ int) chooser { return &plainChooser{rnd: w.rnd} },
		planner: newPlainPlanner,
		queue: func(w *world, t config.TargetSpec) queue {
			return &plainQueue{w: w, limit: t.Concurrency, running: map[*request]bool{}}
		},
	}
}

// plainLimiter gives each entry host its part of each rate and burst.
type plainLimiter struct {
	w       *world
	buckets map[string]*bucket // by workspace and entry host
}

type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

// take refills and takes, or leaves the bucket as it is.
func (b *bucket) take(tokens int64, now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < float64(tokens) {
		return false
	}
	b.level -= float64(tokens)
	return true
}

func newPlainLimiter(w *world) limiter {
	return &plainLimiter{w, map[string]*bucket{}}
}

func (l *plainLimiter) charge(r *request, done func(bool)) {
	key := r.workspace + "@" + string(rune('a'+r.entry))
	b := l.buckets[key]
	if b == nil {
		ws := l.w.config.Workspaces[r.workspace]
		n := float64(len(l.w.entries))
		b = &bucket{rate: float64(ws.Rate) / n, burst: float64(ws.Burst) / n, level: float64(ws.Burst) / n}
		l.buckets[key] = b
	}
	done(b.take(r.tokens(), l.w.now))
}

func (l *plainLimiter) tick() {}

// plainRoom is first come first served for each model, until the deadline.
type plainRoom struct {
	w      *world
	queues map[string][]*request
}

func (p *plainRoom) arrive(r *request) bool {
	p.queues[r.model] = append(p.queues[r.model], r)
	return true
}

func (p *plainRoom) next(model string) *request {
	q := p.queues[model]
	if len(q) == 0 {
		return nil
	}
	p.queues[model] = q[1:]
	return q[0]
}

func (p *plainRoom) again(r *request) bool {
	if p.w.now >= r.deadline {
		return false
	}
	p.queues[r.model] = slices.Insert(p.queues[r.model], 0, r)
	return true
}

func (p *plainRoom) overload(*request) {}

func (p *plainRoom) done(*request, bool) {}

func (p *plainRoom) forecast(string, placement.Forecast) {}

func (p *plainRoom) expire() []*request {
	var out []*request
	for _, model := range slices.Sorted(maps.Keys(p.queues)) {
		p.queues[model], out = splitExpired(p.queues[model], out, p.w.now)
		if len(p.queues[model]) == 0 {
			delete(p.queues, model)
		}
	}
	return out
}

func splitExpired(list, out []*request, now time.Duration) (kept, expired []*request) {
	kept = list[:0:0]
	for _, r := range list {
		if now >= r.deadline {
			out = append(out, r)
			continue
		}
		kept = append(kept, r)
	}
	return kept, out
}

func (p *plainRoom) waiting() []string { return slices.Sorted(maps.Keys(p.queues)) }

func (p *plainRoom) demands(served map[string]int64) []placement.Demand {
	var list []placement.Demand
	for _, model := range slices.Sorted(maps.Keys(p.queues)) {
		d := placement.Demand{Model: model, Waiting: len(p.queues[model]), Served: served[model]}
		for _, r := range p.queues[model] {
			at := epoch.Add(r.deadline)
			if d.EarliestDeadline.IsZero() || at.Before(d.EarliestDeadline) {
				d.EarliestDeadline = at
			}
			d.Interactive = d.Interactive || r.class == classLookup
		}
		list = append(list, d)
	}
	return appendServed(list, served)
}

// appendServed adds the models that were served and for which nothing waits.
func appendServed(list []placement.Demand, served map[string]int64) []placement.Demand {
	listed := map[string]bool{}
	for _, d := range list {
		listed[d.Model] = true
	}
	for _, model := range slices.Sorted(maps.Keys(served)) {
		if !listed[model] {
			list = append(list, placement.Demand{Model: model, Served: served[model]})
		}
	}
	return list
}

// plainChooser takes any target that serves the model.
type plainChooser struct {
	rnd *rand.Rand
	v   routing.View
}

func (c *plainChooser) view(v routing.View) { c.v = v }

func (c *plainChooser) serves(model string) bool { return len(c.v.Serving[model]) > 0 }

func (c *plainChooser) pick(r *request) (string, bool) {
	list := c.v.Serving[r.model]
	for range len(list) {
		name := list[c.rnd.IntN(len(list))].Target
		if !slices.Contains(r.excluded, name) {
			return name, true
		}
	}
	r.excluded = nil
	return "", false
}

func (c *plainChooser) started(*request) {}

func (c *plainChooser) finished(*request, routing.Outcome, time.Duration, *routing.LoadReport) {}

func (c *plainChooser) refused(*request, string, bool, []string) {}

// plainPlanner loads on demand at once, anywhere, and unloads after a fixed time.
type plainPlanner struct {
	w       *world
	list    []placement.TargetStatus
	held    map[string]*coordpb.Replica
	asked   map[string]time.Duration
	idle    map[string]time.Duration // by model@target, as reported
	hosts   map[int]map[string]bool
	running map[string]int
}

// plainIdle is the baseline's fixed time.
const plainIdle = 5 * time.Minute

func newPlainPlanner(w *world) planner {
	return &plainPlanner{w: w, held: map[string]*coordpb.Replica{}, asked: map[string]time.Duration{}, idle: map[string]time.Duration{},
		hosts: map[int]map[string]bool{}, running: map[string]int{}}
}

func (p *plainPlanner) targets(list []placement.TargetStatus) { p.list = list }

func (p *plainPlanner) replicas(list []*coordpb.Replica) {
	clear(p.held)
	for _, r := range list {
		p.held[r.Model+"@"+r.Target] = r
	}
}

func (p *plainPlanner) report(r placement.Report) {
	for _, m := range r.Models {
		p.idle[m.Model+"@"+r.Target] = m.Idle
		p.running[m.Model+"@"+r.Target] = m.Running
	}
}

func (p *plainPlanner) demand(entry int, list []placement.Demand) {
	waits := map[string]bool{}
	for _, d := range list {
		if d.Waiting > 0 {
			waits[d.Model] = true
		}
	}
	p.hosts[entry] = waits
}

func (p *plainPlanner) forecast(string) placement.Forecast { return placement.Forecast{Possible: true} }

func (p *plainPlanner) usable(name string) bool {
	for _, t := range p.list {
		if t.Name == name {
			return t.Live && !t.Leaving
		}
	}
	return false
}

func (p *plainPlanner) plan() []placement.Decision {
	used := map[string]int64{}
	placed := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(p.held)) {
		r := p.held[key]
		used[r.Target] += p.w.config.Models[r.Model].Bytes
		if r.State != coordpb.ReplicaState_REPLICA_STATE_UNLOAD && p.usable(r.Target) {
			placed[r.Model] = true
		}
	}
	waits := map[string]bool{}
	for _, host := range p.hosts {
		for model := range host {
			waits[model] = true
		}
	}
	var out []placement.Decision
	for _, model := range slices.Sorted(maps.Keys(waits)) {
		last, asked := p.asked[model]
		if placed[model] || asked && p.w.now-last < time.Second {
			continue
		}
		out = append(out, p.load(model, used, waits)...)
	}
	return append(out, p.unloadIdle(waits)...)
}

// load takes a random target with room, or else makes room on a random one by
// unloading what was used least recently.
func (p *plainPlanner) load(model string, used map[string]int64, waits map[string]bool) []placement.Decision {
	need := p.w.config.Models[model].Bytes
	var room, all []string
	for _, t := range p.list {
		if !t.Live || t.Leaving || p.held[model+"@"+t.Name] != nil {
			continue
		}
		all = append(all, t.Name)
		if used[t.Name]+need <= p.w.config.Targets[t.Name].WeightBytes() {
			room = append(room, t.Name)
		}
	}
	p.asked[model] = p.w.now
	if len(room) > 0 {
		name := room[p.w.rnd.IntN(len(room))]
		used[name] += need
		return []placement.Decision{{Model: model, Target: name, Load: true, Reason: placement.ReasonDemand}}
	}
	if len(all) == 0 {
		return nil
	}
	return p.evict(all[p.w.rnd.IntN(len(all))], need, used, waits)
}

func (p *plainPlanner) evict(target string, need int64, used map[string]int64, waits map[string]bool) []placement.Decision {
	var out []placement.Decision
	free := p.w.config.Targets[target].WeightBytes() - used[target]
	var list []*coordpb.Replica
	for _, key := range slices.Sorted(maps.Keys(p.held)) {
		r := p.held[key]
		if r.Target == target && r.State == coordpb.ReplicaState_REPLICA_STATE_READY && p.running[key] == 0 && !waits[r.Model] {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *coordpb.Replica) int {
		return int(p.idle[b.Model+"@"+b.Target] - p.idle[a.Model+"@"+a.Target])
	})
	for _, r := range list {
		if free >= need {
			break
		}
		free += p.w.config.Models[r.Model].Bytes
		out = append(out, placement.Decision{Model: r.Model, Target: target, Reason: placement.ReasonEvicted})
	}
	return out
}

func (p *plainPlanner) unloadIdle(waits map[string]bool) []placement.Decision {
	var out []placement.Decision
	for _, key := range slices.Sorted(maps.Keys(p.held)) {
		r := p.held[key]
		if r.State == coordpb.ReplicaState_REPLICA_STATE_READY && p.idle[key] >= plainIdle && p.running[key] == 0 && !waits[r.Model] {
			out = append(out, placement.Decision{Model: r.Model, Target: r.Target, Reason: placement.ReasonIdle})
		}
	}
	return out
}

// plainQueue is first come first served up to the target's concurrency.
type plainQueue struct {
	w       *world
	limit   int
	list    []*request
	running map[*request]bool
}

func (q *plainQueue) push(r *request) bool {
	q.list = append(q.list, r)
	return true
}

func (q *plainQueue) pop() *request {
	if len(q.list) == 0 || len(q.running) >= q.limit {
		return nil
	}
	r := q.list[0]
	q.list = q.list[1:]
	q.running[r] = true
	return r
}

func (q *plainQueue) first(*request) {}

func (q *plainQueue) done(r *request, _ bool) { delete(q.running, r) }

func (q *plainQueue) expire() (out []*request) {
	q.list, out = splitExpired(q.list, nil, q.w.now)
	return out
}

func (q *plainQueue) drain() []*request { return nil }

func (q *plainQueue) crash() (ran, waited []*request) {
	for r := range q.running {
		ran = append(ran, r)
	}
	slices.SortFunc(ran, func(a, b *request) int { return a.id - b.id })
	q.running, waited, q.list = map[*request]bool{}, q.list, nil
	return ran, waited
}

func (q *plainQueue) load() routing.LoadReport {
	return routing.LoadReport{Running: len(q.running), Queued: len(q.list), Limit: q.limit}
}
