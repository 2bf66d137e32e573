package gateway

import (
	"context"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/platform"
	"cowsliptiller/server/board"
	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
)

// Times of the watch.
const (
	watchWait = time.Second
	watchTime = 2 * time.Second
	// watchRetry is the wait after a failed poll, while a new leader is found.
	watchRetry = 100 * time.Millisecond
	// fillingPace times as often as usual a board is asked that fills: callers wait.
	fillingPace = 4
)

// targets is what this host knows of all targets.
type targets struct {
	config Config
	events *events.Log

	mu      sync.Mutex // guards everything below
	router  *routing.Router
	known   *targetstatus.TableCache
	epoch   uint64
	version uint64
	hosts   int
	seenAt  time.Time          // of the board's newest answer
	began   time.Time          // when this host began to ask
	changed chan struct{}      // closed at the board's next answer
	use     map[string]float64 // worth asked for since the last poll, by model
	lost    time.Time          // since when the board does not answer; zero: it does
	backlog *request.Backlog   // how long targets take for what is queued there
}

func newTargets(c Config) *targets {
	return &targets{
		config: c, events: c.Events,
		router: routing.New(c.Caller.GetFailureDomain(), routing.DefaultSettings(), rand.NewPCG(rand.Uint64(), rand.Uint64())),
		known:  targetstatus.NewTableCache(), use: map[string]float64{}, hosts: 1, began: c.Now(), changed: make(chan struct{}),
		backlog: request.NewBacklog(),
	}
}

// watch follows the board.
func (t *targets) watch(ctx context.Context) {
	for ctx.Err() == nil {
		wait := targetstatus.PollInterval(t.entryHosts())
		var renewed <-chan struct{}
		if err := t.poll(ctx); err != nil {
			t.noteLost(err)
			wait, renewed = watchRetry, t.config.Source.Renewed()
		} else if _, changed := t.missing(); changed != nil {
			wait /= fillingPace
		}
		select {
		case <-ctx.Done():
		case <-renewed: // control answers: it says who leads
		case <-time.After(wait):
		}
	}
}

func (t *targets) noteLost(err error) {
	t.mu.Lock()
	first := t.lost.IsZero()
	if first {
		t.lost = t.config.Now()
	}
	t.mu.Unlock()
	if first {
		t.events.DependencyLost("board", err)
	}
}

func (t *targets) poll(ctx context.Context) error {
	b := t.config.Board()
	if b == nil {
		return errNoBoard
	}
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	resp, err := b.Watch(ctx, t.request())
	if err != nil {
		return rpc.FromTwirp(err)
	}
	t.take(resp)
	return nil
}

func (t *targets) request() *rpc.WatchRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &rpc.WatchRequest{Caller: t.config.Caller, Since: t.version, Epoch: t.epoch, WaitMs: uint32(watchWait.Milliseconds())}
	for _, model := range slices.Sorted(maps.Keys(t.use)) {
		r.Use = append(r.Use, &rpc.ModelUse{Model: model, ValuePerS: t.use[model]})
	}
	clear(t.use)
	return r
}

// asked notes that a caller asked for a model.
func (t *targets) asked(model string, worth float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.use[model] += worth
}

func (t *targets) take(r *rpc.WatchResponse) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost.IsZero() {
		t.events.DependencyRegained("board", now.Sub(t.lost))
		t.lost = time.Time{}
	}
	age := time.Duration(r.ListAgeMs) * time.Millisecond
	u := updateOf(r)
	for _, c := range t.known.Apply(u) {
		s := c.Status
		t.events.TargetChanged(s.Instance, s.Service, s.Address, s.Draining, c.Removed, age)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	t.epoch, t.version, t.hosts, t.seenAt = r.Epoch, r.Version, max(1, int(r.EntryHosts)), now
	if t.known.NeedsFullSync(u) {
		t.version = 0
	}
	t.route(now)
}

func updateOf(r *rpc.WatchResponse) targetstatus.Update {
	u := targetstatus.Update{Removed: r.Gone, Whole: r.Whole, Incomplete: r.Filling}
	for _, m := range r.Standings {
		u.Changed = append(u.Changed, board.FromRPC(m))
	}
	for _, l := range r.Loads {
		u.Loads = append(u.Loads, board.LoadFromRPC(l))
	}
	return u
}

// route gives the router what is known. The caller holds mu.
func (t *targets) route(now time.Time) {
	v := routing.View{Targets: map[string]routing.TargetView{}, Serving: map[string][]routing.Replica{}}
	for id, s := range t.known.All() {
		v.Targets[id] = routing.TargetView{
			FailureDomain: s.FailureDomain, Concurrency: s.Slots, Incarnation: id, Leaving: s.Draining,
		}
		service := routing.ServiceName(s.Service)
		v.Serving[service] = append(v.Serving[service], routing.Replica{Target: id, Version: s.Version})
		for _, m := range s.Models {
			t.serve(v, s, m.Name)
			for _, a := range m.Adapters {
				t.serve(v, s, m.Name+"/"+a)
			}
		}
	}
	t.router.SetView(v, now)
	t.backlog.ResetStarts()
	for id, s := range t.known.All() {
		if s.Reported {
			t.router.Reported(id, routing.LoadReport{Running: s.Running, Queued: s.Queued, Limit: s.Slots}, now)
		}
	}
}

func (t *targets) serve(v routing.View, s *targetstatus.Status, name string) {
	key := s.Service + ":" + name
	v.Serving[key] = append(v.Serving[key], routing.Replica{Target: s.Instance, Version: s.Version})
}

// place is a target to send a call to.
type place struct {
	targetstatus.Status
	query routing.Request
}

// pick chooses among the targets that hold what a call needs. Where none holds the
// adapter, one that holds its model is returned with held false.
func (t *targets) pick(c *call, exclude []string) (p place, held, ok bool) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	q := routing.Request{Exclude: exclude, NoProbe: !c.repeatable(), PrefixHash: prefixOf(c)}
	names := []string{routing.ServiceName(c.service.Name)}
	if c.needsModel() {
		names = []string{c.service.Name + ":" + c.modelName()}
		if c.Adapter != "" {
			names = append(names, c.service.Name+":"+c.Model)
		}
	}
	for i, name := range names {
		q.Name = name
		q.Adapter = ""
		if c.needsModel() && i == 1 {
			q.Adapter, q.PrefixHash = c.Adapter, 0
		}
		if id, found := t.router.Pick(q, now); found && t.known.Get(id) != nil {
			return place{Status: *t.known.Get(id), query: q}, i == 0, true
		}
	}
	return place{}, false, false
}

// least returns the place with the shortest wait of all that would do in place of p.
func (t *targets) least(p place) place {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, found := t.router.PickLeastLoaded(p.query, t.config.Now())
	if !found || t.known.Get(id) == nil {
		return p
	}
	return place{Status: *t.known.Get(id), query: p.query}
}

// prefixOf names the part of the prompt that a session's requests share with each
// other: targets keep what they have read of it.
func prefixOf(c *call) uint64 {
	if len(c.Prefix) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Prefix[len(c.Prefix)-1].ID))
	return h.Sum64()
}

// homes returns the targets that may load a model for a service, the one that would hold
// it first in front.
func (t *targets) homes(service string, a targetstatus.LoadTimes, exclude []string) []targetstatus.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []targetstatus.Status
	for _, s := range t.known.All() {
		if s.Service == service && !s.Draining && s.Reported && s.Agent != "" && !slices.Contains(exclude, s.Instance) {
			list = append(list, *s)
		}
	}
	return targetstatus.RankForLoad(list, a)
}

func (t *targets) started(p place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Started(p.Instance, p.query, t.config.Now())
	t.backlog.RecordStart(p.Instance)
}

func (t *targets) finished(p place, o routing.Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Finished(p.Instance, p.query, o, took, t.config.Now())
}

func (t *targets) loaded(p place, l platform.Load) {
	if !l.Known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Reported(p.Instance, routing.LoadReport{Running: l.Running, Queued: l.Queued, Limit: l.Slots}, t.config.Now())
}

func (t *targets) entryHosts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts
}

// boardAge is how old what is known of the targets is.
func (t *targets) boardAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.Now().Sub(t.seenAt)
}

// answered reports whether the board has ever answered.
func (t *targets) answered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.seenAt.IsZero()
}

// queryFor is how the router knows a call that goes to a target which has just
// loaded its model.
func (t *targets) queryFor(c *call) routing.Request {
	return routing.Request{Name: c.service.Name + ":" + c.modelName(), PrefixHash: prefixOf(c), NoProbe: !c.repeatable()}
}

// stays says whether a target may still be sent requests: one that a call waited for
// can have begun to leave meanwhile.
func (t *targets) stays(instance string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.known.Get(instance); s == nil || s.Draining {
		return fault.NewRetryAfter(fault.NoCapacity, coldRetryAfter, "target %s is leaving", instance)
	}
	return nil
}

// wait is how long a request that goes to a target now is expected to be queued there.
func (t *targets) wait(p place) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backlog.Wait(p.Instance, p.Service, p.Running, p.Queued, p.Slots)
}

// longestRun is how long runs take at the service where they take longest.
func (t *targets) longestRun() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backlog.LongestMeanRun()
}

// ran notes how long a stream ran at a target of a service, from its first event to its end.
func (t *targets) ran(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backlog.RecordRun(service, took)
}
