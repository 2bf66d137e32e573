package experiment

import (
	"slices"
	"strconv"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/placement"
	calls "cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	engines "cowsliptiller/coord/target"
)

// ownRoom is request.Admission.
type ownRoom struct {
	w         *world
	a         *calls.Admission
	byID      map[string]*request
	refused   []*request
	forecasts map[string]time.Duration // when each was made
}

// heldCalls bounds what an entry host holds.
const heldCalls = 20_000

// forecastLife is how long a forecast counts: control sends a new one at each of
// its rounds while requests wait, and none once nobody waits.
const forecastLife = time.Second

func newOwnRoom(w *world, _ int) room {
	return &ownRoom{w: w, a: calls.NewAdmission(calls.Bounds{Calls: heldCalls, Bytes: 1 << 40}), byID: map[string]*request{}, forecasts: map[string]time.Duration{}}
}

func (o *ownRoom) arrive(r *request) bool {
	o.forget(r.model)
	id := strconv.Itoa(r.id)
	err := o.a.Enqueue(calls.Pending{
		ID: id, Workspace: r.workspace, Destination: r.model, Class: calls.NewClass(o.w.config.Classes[r.class]),
		Weight: o.w.config.Workspaces[r.workspace].Rate, Tokens: r.tokens(), Bytes: 1000, Arrived: o.w.time(), Deadline: epoch.Add(r.deadline),
	}, o.w.time())
	if err == nil {
		o.byID[id] = r
	}
	return err == nil
}

// forget drops a forecast that nobody has renewed: it would refuse for ever.
func (o *ownRoom) forget(model string) {
	at, known := o.forecasts[model]
	if known && o.w.now-at > forecastLife {
		o.forecast(model, placement.Forecast{Possible: true})
		delete(o.forecasts, model)
	}
}

func (o *ownRoom) next(model string) *request {
	p, ok := o.a.Next(model, o.w.time())
	if !ok {
		return nil
	}
	return o.byID[p.ID]
}

func (o *ownRoom) again(r *request) bool {
	return o.a.Requeue(strconv.Itoa(r.id), o.w.time()) == nil
}

func (o *ownRoom) overload(r *request) { o.a.ReportOverload(strconv.Itoa(r.id), o.w.time()) }

func (o *ownRoom) done(r *request, ok bool) {
	id := strconv.Itoa(r.id)
	delete(o.byID, id)
	if !ok {
		o.a.Done(id, 0, 0, o.w.time())
		return
	}
	o.a.Done(id, r.tokens(), o.w.now-r.handedAt, o.w.time())
}

func (o *ownRoom) forecast(model string, f placement.Forecast) {
	o.forecasts[model] = o.w.now
	o.note(o.a.SetForecast(model, f.Possible, o.w.time().Add(f.ReadyIn), o.w.time()))
}

func (o *ownRoom) note(list []calls.Refusal) {
	for _, r := range list {
		o.refused = append(o.refused, o.byID[r.ID])
		delete(o.byID, r.ID)
	}
}

func (o *ownRoom) expire() []*request {
	o.note(o.a.Expire(o.w.time()))
	out := o.refused
	o.refused = nil
	return out
}

func (o *ownRoom) waiting() []string {
	var names []string
	for _, d := range o.a.Demands() {
		names = append(names, d.Destination)
	}
	return names
}

func (o *ownRoom) demands(served map[string]int64) []placement.Demand {
	var list []placement.Demand
	for _, d := range o.a.Demands() {
		list = append(list, placement.Demand{Model: d.Destination, Waiting: d.Waiting, EarliestDeadline: d.Earliest,
			Interactive: d.Interactive, Served: served[d.Destination]})
	}
	return appendServed(list, served)
}

// ownQueue is target.Queue.
type ownQueue struct {
	w    *world
	q    *engines.Queue
	byID map[string]*request
}

func newOwnQueue(w *world, t config.TargetSpec) queue {
	return &ownQueue{w, engines.NewQueue(t.Concurrency), map[string]*request{}}
}

func (o *ownQueue) push(r *request) bool {
	id := strconv.Itoa(r.id)
	err := o.q.Push(engines.Work{
		ID: id, Workspace: r.workspace, Model: r.model, Band: calls.NewClass(o.w.config.Classes[r.class]).Band,
		Weight: o.w.config.Workspaces[r.workspace].Rate, Tokens: r.tokens(),
		PrefixHash: strconv.FormatUint(r.prefix, 16), Arrived: epoch.Add(r.at), Deadline: epoch.Add(r.deadline),
	}, o.w.time())
	if err == nil {
		o.byID[id] = r
	}
	return err == nil
}

func (o *ownQueue) pop() *request {
	work, ok := o.q.Pop(o.w.time())
	if !ok {
		return nil
	}
	return o.byID[work.ID]
}

func (o *ownQueue) first(r *request) { o.q.FirstToken(strconv.Itoa(r.id), o.w.time()) }

func (o *ownQueue) done(r *request, ok bool) {
	id := strconv.Itoa(r.id)
	delete(o.byID, id)
	o.q.Done(id, r.tokens(), ok, o.w.time())
}

func (o *ownQueue) taken(list []engines.Refusal) []*request {
	var out []*request
	for _, r := range list {
		out = append(out, o.byID[r.ID])
		delete(o.byID, r.ID)
	}
	return out
}

func (o *ownQueue) expire() []*request { return o.taken(o.q.Expire(o.w.time())) }

func (o *ownQueue) drain() []*request { return o.taken(o.q.Drain()) }

func (o *ownQueue) crash() (ran, waited []*request) {
	for _, work := range o.q.TargetCrashed(o.w.time()) {
		ran = append(ran, o.byID[work.ID])
		delete(o.byID, work.ID)
	}
	slices.SortFunc(ran, func(a, b *request) int { return a.id - b.id })
	return ran, o.drain()
}

func (o *ownQueue) load() routing.LoadReport {
	l := o.q.Load()
	return routing.LoadReport{Running: l.Running, Queued: l.Queued, Limit: l.Limit, ServiceTime: l.ServiceTime}
}
