package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Scheduler decides about the loads and unloads of one target. It is not safe for concurrent use.
type Scheduler struct {
	config          TargetConfig
	demand          map[string]Demand
	report          Report
	hasReport       bool                  // at least one report was observed
	waiters         map[string]*Waiter    // by ID
	retries         map[string][]retry    // by model
	pending         *pendingOrder         // the order that was sent and whose result is not known
	loading         map[string]activeLoad // accepted loads by model, until a report shows their end
	lastWanted      map[string]time.Time  // by model or model/adapter: when a request last asked for it
	keepUntil       map[string]time.Time  // by model: it is not evicted before
	nextOrderAt     time.Time             // no order is sent before
	storeBusyUntil  time.Time             // the weight store accepts no load for this target before
	unloadRefusedAt map[string]time.Time  // by model/adapter: when its unload was refused, as it is in use
	reserved        reservation           // room reserved for one more copy
	madeRoom        reservation           // room that an unload has made for a model that requests wait for
	fencing         int64                 // of orders: the latest start time that the target reported
	demandChanged   bool                  // since shortSince was updated
	shortSince      map[string]time.Time  // by model: since when it has fewer copies than wanted
	copyDeferred    map[string]time.Time  // by model: no planned copy of it is offered before
	// copiesRefusedUntil is until when models that requests wait for come before planned copies.
	copiesRefusedUntil time.Time
}

// activeLoad is a load of a model that was accepted and has not ended.
type activeLoad struct {
	start    time.Time
	expected time.Duration
}

// pendingOrder is an order that was sent and whose result is not known.
type pendingOrder struct {
	order      Order
	unanswered bool // an attempt to send it got no answer
}

// Times that decisions and forecasts are based on.
const (
	// minResidency protects a model from eviction after a load, so that the requests that
	// waited for it can arrive and begin.
	minResidency = 1500 * time.Millisecond
	// refusalDelay is the pause after an order that was not accepted or not answered, and after
	// an accepted unload of a model. The next report shows the target's state.
	refusalDelay = 100 * time.Millisecond
	// valueHorizon is the time over which the expected value of a held model is compared with
	// the value of the requests for another one. It is about the time that replacing a model
	// takes: the unload, which waits for running requests, and a load from disk.
	valueHorizon = 3 * time.Second
	// orderDelay is added to load times in forecasts. It covers the order itself, the report
	// that shows the end of the load, and the request's transfer to the target.
	orderDelay = 150 * time.Millisecond
	// typicalUnloadWait is how long an unload usually waits for running requests to finish.
	typicalUnloadWait = time.Second
)

// NewScheduler returns a scheduler that gives no orders until it has a configuration and a report.
func NewScheduler() *Scheduler {
	return &Scheduler{
		demand: map[string]Demand{}, waiters: map[string]*Waiter{}, retries: map[string][]retry{}, loading: map[string]activeLoad{},
		lastWanted: map[string]time.Time{}, keepUntil: map[string]time.Time{}, unloadRefusedAt: map[string]time.Time{},
		shortSince: map[string]time.Time{}, copyDeferred: map[string]time.Time{},
	}
}

// Configure sets the configuration of the target's service.
func (s *Scheduler) Configure(e TargetConfig) { s.config = e }

// SetDemand sets the fleet-wide demand by model.
func (s *Scheduler) SetDemand(d map[string]Demand) { s.demand, s.demandChanged = d, true }

// Holds reports whether the target holds a model and, unless adapter is empty, that adapter.
func (s *Scheduler) Holds(model, adapter string) bool {
	adapters, held := s.report.Models[model]
	return held && (adapter == "" || slices.Contains(adapters, adapter))
}

// Loading returns the model that is being loaded, or "" if there is none.
func (s *Scheduler) Loading() string {
	for _, m := range slices.Sorted(maps.Keys(s.loading)) {
		return m
	}
	return ""
}

// Observe updates the state from the target's newest report and returns the wait results for the
// requests whose wait it ends.
func (s *Scheduler) Observe(r Report, now time.Time) []WaitResult {
	if s.hasReport && r.StartID != s.report.StartID {
		s.reset()
	}
	s.report, s.hasReport = r, true
	// The sequence of a target that started again under its id may reach that of an order which
	// its earlier start has yet to carry out. Only the fencing number distinguishes the two starts.
	s.fencing = max(s.fencing, r.StartedUnixMs)
	if s.pending != nil && r.Sequence > s.pending.order.ExpectedSequence {
		// An order with that sequence was accepted: either this one, or another one, after
		// which the target refuses this one.
		s.resolvePending(now)
	}
	for model := range s.loading {
		if _, held := r.Models[model]; held {
			s.keepUntil[model] = now.Add(minResidency)
			delete(s.loading, model)
		} else if !r.Busy {
			delete(s.loading, model)
		}
	}
	return s.resolveHeld(now)
}

// reset clears the state that a restart of the target ends: after it the target holds nothing.
func (s *Scheduler) reset() {
	s.pending = nil
	s.reserved, s.madeRoom = reservation{}, reservation{}
	clear(s.loading)
	clear(s.keepUntil)
}

// resolvePending ends the wait for the pending order's result. It was accepted or can no longer be;
// the report shows which.
func (s *Scheduler) resolvePending(now time.Time) {
	o := s.pending.order
	s.pending = nil
	s.reserve(o, now)
	if o.Load && o.Adapter == "" && s.report.Busy {
		s.loading[o.Model] = activeLoad{now, s.loadTime(o.Model)}
	}
}

// Add adds a waiting request. If the model is held already, is not configured, or is not forecast
// to be ready before the end of the wait, the request does not wait: Add returns its wait result
// and true.
func (s *Scheduler) Add(w Waiter, now time.Time) (WaitResult, bool) {
	s.lastWanted[w.Model] = now
	if w.Adapter != "" {
		s.lastWanted[w.Model+"/"+w.Adapter] = now
	}
	if _, known := s.config.Models[w.Model]; !known {
		return WaitResult{ID: w.ID, Reason: "the model is not in the configuration"}, true
	}
	if s.Holds(w.Model, w.Adapter) {
		return WaitResult{ID: w.ID, Held: true}, true
	}
	if ready := s.forecast(w, now); now.Add(ready).After(w.Deadline) {
		expected := w.WillRetry && s.expectRetry(w, ready, now)
		return WaitResult{ID: w.ID, RetryAfter: ready, WillLoad: expected, Reason: "the model would not be ready before the request's deadline"}, true
	}
	s.waiters[w.ID] = &w
	return WaitResult{}, false
}

// Cancel removes a waiting request whose caller has disconnected.
func (s *Scheduler) Cancel(id string) { delete(s.waiters, id) }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiters) }

// Tick removes expired retries, and returns the wait results for the requests whose wait has ended.
func (s *Scheduler) Tick(now time.Time) []WaitResult {
	s.expireRetries(now)
	var out []WaitResult
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		w := s.waiters[id]
		if now.Before(w.Deadline) {
			continue
		}
		delete(s.waiters, id)
		out = append(out, WaitResult{ID: id, RetryAfter: s.forecast(*w, now), Reason: "it was not ready within the wait limit"})
	}
	return out
}

// FailAll ends the wait of all requests with a reason, for instance when the target does not answer.
// No retry of refused callers is expected any more.
func (s *Scheduler) FailAll(reason string) []WaitResult {
	clear(s.retries)
	var out []WaitResult
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		out = append(out, WaitResult{ID: id, Reason: reason})
	}
	clear(s.waiters)
	return out
}

// resolveHeld ends the wait of the requests whose model, and adapter if any, is held now.
func (s *Scheduler) resolveHeld(now time.Time) []WaitResult {
	var out []WaitResult
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		w := s.waiters[id]
		if !s.Holds(w.Model, w.Adapter) {
			continue
		}
		s.keepUntil[w.Model] = now.Add(minResidency)
		delete(s.waiters, id)
		out = append(out, WaitResult{ID: id, Held: true})
	}
	return out
}

// Next returns the order to send now, if any. While the result of an order is unknown, only the
// same order is sent again. If the first attempt was accepted, the target's sequence has advanced
// and the second is refused; if not, the second takes effect instead.
func (s *Scheduler) Next(now time.Time) (Order, bool) {
	if !s.hasReport || len(s.config.Models) == 0 || now.Before(s.nextOrderAt) {
		return Order{}, false
	}
	if s.pending != nil {
		if s.pending.unanswered {
			return s.pending.order, true
		}
		return Order{}, false // its result is not known yet
	}
	if s.report.Busy || len(s.loading) > 0 {
		return Order{}, false // the target would refuse any order, also one on an adapter
	}
	if o, ok := s.nextAdapterOrder(now); ok {
		return o, true
	}
	return s.nextModelOrder(now)
}

// Idle reports whether no order is pending or under way and none is delayed, so that Next
// returning no order means that none is needed.
func (s *Scheduler) Idle(now time.Time) bool {
	return s.hasReport && s.pending == nil && !s.report.Busy && len(s.loading) == 0 && !now.Before(s.nextOrderAt)
}

// MarkSent records that an order is being sent. The caller must report its result.
func (s *Scheduler) MarkSent(o Order) { s.pending = &pendingOrder{order: o} }

// HandleResult records the result of the order that was sent.
func (s *Scheduler) HandleResult(o Order, r Result, now time.Time) {
	if s.pending == nil || s.pending.order != o {
		return // a report has resolved it already
	}
	switch r {
	case Accepted:
		s.report.Sequence = max(s.report.Sequence, o.ExpectedSequence+1)
		s.pending = nil
		s.applyAccepted(o, now)
	case OutcomeUnknown:
		s.pending.unanswered = true
		s.nextOrderAt = now.Add(refusalDelay)
	case Refused, Rejected, AlreadyDone:
		// If an earlier attempt got no answer, a refusal can mean that the earlier one was
		// accepted. The next report shows which.
		s.pending = nil
		if o.Adapter != "" && !o.Load && !s.report.Busy {
			s.unloadRefusedAt[o.Model+"/"+o.Adapter] = now
			return
		}
		s.nextOrderAt = now.Add(refusalDelay)
	}
}

// applyAccepted applies an accepted order to the state, as the next report will show it.
func (s *Scheduler) applyAccepted(o Order, now time.Time) {
	s.reserve(o, now)
	switch {
	case o.Adapter != "" && o.Load:
		s.report.LoadingAdapters = withAdapter(s.report.LoadingAdapters, o.Model, o.Adapter)
	case o.Adapter != "":
		s.report.Models[o.Model] = without(s.report.Models[o.Model], o.Adapter)
	case o.Load:
		s.report.Busy = true
		s.loading[o.Model] = activeLoad{now, s.loadTime(o.Model)}
	default:
		s.report.Busy = true
		s.nextOrderAt = now.Add(refusalDelay)
	}
}

func withAdapter(m map[string][]string, model, adapter string) map[string][]string {
	out := maps.Clone(m)
	if out == nil {
		out = map[string][]string{}
	}
	out[model] = append(slices.Clone(out[model]), adapter)
	return out
}

func without(list []string, removed string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == removed })
}

// loadTime returns the expected time to load a model from the nearest place that has its weights.
func (s *Scheduler) loadTime(model string) time.Duration {
	m := s.config.Models[model]
	switch {
	case slices.Contains(s.report.InMemory, model):
		return m.MemoryLoadTime
	case slices.Contains(s.report.OnDisk, model):
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// fromStore reports whether a model must be loaded from the weight store.
func (s *Scheduler) fromStore(model string) bool {
	return !slices.Contains(s.report.InMemory, model) && !slices.Contains(s.report.OnDisk, model)
}

// forecast returns how long it will take, in the current state, until a waiting request can run.
func (s *Scheduler) forecast(w Waiter, now time.Time) time.Duration {
	if _, held := s.report.Models[w.Model]; held {
		return orderDelay
	}
	if l, loading := s.loading[w.Model]; loading {
		return l.left(now) + orderDelay
	}
	wait := orderDelay + s.loadingRemaining(now) + s.loadsBefore(w.Model, now)
	if !s.fitsBeside(w.Model, now) {
		wait += typicalUnloadWait
	}
	if s.fromStore(w.Model) {
		wait = max(wait, s.storeBusyUntil.Sub(now))
	}
	return wait + s.loadTime(w.Model)
}

// loadsBefore returns how long the loads that come before that of a model take.
func (s *Scheduler) loadsBefore(model string, now time.Time) time.Duration {
	kept := s.keptFor(now)
	if model == kept {
		return 0
	}
	sum := s.keptLoadTime(now)
	for _, earlier := range s.modelsToLoad() {
		if earlier == model {
			break
		}
		if earlier != kept {
			sum += s.loadTime(earlier) + typicalUnloadWait
		}
	}
	return sum
}

// left returns how much longer a load is expected to take.
func (l activeLoad) left(now time.Time) time.Duration { return max(0, l.expected-now.Sub(l.start)) }

// loadingRemaining returns how much longer the loads under way are expected to take.
func (s *Scheduler) loadingRemaining(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, l := range s.loading {
		sum += l.left(now)
	}
	return sum
}

// LoadWait returns how long a load that is requested now would wait until it can begin.
func (s *Scheduler) LoadWait(now time.Time) time.Duration {
	wait := s.loadingRemaining(now) + s.keptLoadTime(now)
	kept := s.keptFor(now)
	for _, model := range s.Awaited() {
		if model != kept {
			wait += s.loadTime(model) + typicalUnloadWait
		}
	}
	return wait
}

// Awaited returns the models that are to be loaded and are not loading yet, in the order in
// which they will be loaded.
func (s *Scheduler) Awaited() []string {
	return slices.DeleteFunc(s.modelsToLoad(), func(model string) bool {
		_, loading := s.loading[model]
		return loading
	})
}

// DelayStoreLoads records that the weight store accepts no load for this target for the given time.
// It returns the waiting requests that can no longer be served within their wait limit, so that
// their callers retry when they can be.
func (s *Scheduler) DelayStoreLoads(wait time.Duration, now time.Time) []WaitResult {
	s.storeBusyUntil = now.Add(wait)
	var out []WaitResult
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		w := s.waiters[id]
		if _, held := s.report.Models[w.Model]; held || !s.fromStore(w.Model) {
			continue
		}
		if _, loading := s.loading[w.Model]; loading {
			continue
		}
		if ready := s.forecast(*w, now); now.Add(ready).After(w.Deadline) {
			delete(s.waiters, id)
			out = append(out, WaitResult{ID: id, RetryAfter: ready, Reason: "the weight store is busy with other loads"})
		}
	}
	return out
}

// modelsToLoad returns the models that are not held and that requests wait for or expected
// retries need, in descending order of value per second of load time.
func (s *Scheduler) modelsToLoad() []string {
	value := map[string]float64{}
	for _, w := range s.waiters {
		if _, held := s.report.Models[w.Model]; !held {
			value[w.Model] += w.Value
		}
	}
	for model := range s.retries {
		if _, held := s.report.Models[model]; !held && s.retriesJustifyLoad(model) {
			value[model] += s.retryValue(model)
		}
	}
	models := slices.Sorted(maps.Keys(value))
	slices.SortStableFunc(models, func(a, b string) int {
		return cmp.Compare(value[b]/s.cost(b), value[a]/s.cost(a))
	})
	return models
}

// cost returns the expected time to load a model, with the overhead of the order, in seconds.
func (s *Scheduler) cost(model string) float64 { return (s.loadTime(model) + orderDelay).Seconds() }
