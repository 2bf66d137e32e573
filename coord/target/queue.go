package target

import (
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: more requests reach a target than it runs at full speed; long work
// among short; callers who give up while they wait; a request that must run alone.
//
// Without a limit on what runs, the engine's batch grows until every first token is
// late. Without refusing at once what cannot meet its deadline, the queue holds work
// that is thrown away later. Without cancelling, a target works for nobody.
//
// Thresholds: see limit.go for what runs. What waits is bounded by waitFactor times the
// limit: two rounds, beyond which the entry hosts, which order over all targets, hold it.

const waitFactor = 2

// Work is one request at the target.
type Work struct {
	ID        string
	Workspace string
	Model     string
	Band      fair.Band
	Weight    int64
	Tokens    int64 // prompt and the most that it may generate
	Long      bool  // expected to run long: see longTokens
	Alone     bool  // suspected to crash its target: nothing may run beside it
	Prefix    string
	Arrived   time.Time
	Deadline  time.Time
}

// Queue is the run queue of one target.
type Queue struct {
	limit    *Limit
	queue    fair.Queue
	waiting  map[string]Work
	running  map[string]run
	long     int
	alone    bool // a request that must run alone runs
	draining bool
	service  time.Duration // moving mean
}

type run struct {
	work    Work
	started time.Time
	first   time.Duration // time to the first token; 0 until then
}

// NewQueue returns an empty queue for a target that runs concurrency requests at once
// at full speed.
func NewQueue(concurrency int) *Queue {
	return &Queue{limit: NewLimit(concurrency), waiting: make(map[string]Work), running: make(map[string]run)}
}

// Push takes a request to run or wait. Errors, all not run: fault.Leaving while
// draining, fault.Expired past the deadline, fault.Overloaded when the queue is full or
// the wait would pass the deadline.
func (q *Queue) Push(w Work, now time.Time) error {
	switch {
	case q.draining:
		return fault.New(fault.Leaving, "the target takes no new work")
	case !now.Before(w.Deadline):
		return fault.New(fault.Expired, "the deadline passed")
	case len(q.waiting) >= waitFactor*q.limit.Current():
		return fault.After(fault.Overloaded, q.Wait(), "%d requests wait", len(q.waiting))
	}
	if ends := now.Add(q.Wait() + q.service); ends.After(w.Deadline) {
		return fault.After(fault.Overloaded, ends.Sub(w.Deadline), "the wait would pass the deadline")
	}
	q.waiting[w.ID] = w
	q.queue.Push(fair.Item{
		ID: w.ID, Workspace: w.Workspace, Band: w.Band, Weight: w.Weight,
		Tokens: max(1, w.Tokens), Deadline: w.Deadline, Arrived: w.Arrived,
	})
	return nil
}

// Wait forecasts how long a request that comes now waits.
func (q *Queue) Wait() time.Duration {
	if len(q.waiting) == 0 && len(q.running) < q.limit.Current() {
		return 0
	}
	return q.service * time.Duration(len(q.waiting)+1) / time.Duration(q.limit.Current())
}

// Pop returns the request to start now, if one may.
func (q *Queue) Pop(now time.Time) (Work, bool) {
	if q.alone || len(q.running) >= q.limit.Current() {
		return Work{}, false
	}
	it, ok := q.queue.PopIf(func(it fair.Item) bool { return q.fits(q.waiting[it.ID]) })
	if !ok {
		return Work{}, false
	}
	w := q.waiting[it.ID]
	delete(q.waiting, it.ID)
	q.running[w.ID] = run{work: w, started: now}
	q.alone = w.Alone
	if w.Long {
		q.long++
	}
	return w, true
}

// fits reports whether a request may run beside what runs now. Long work takes at
// most longShare of the places, so that short work always finds one that turns over.
func (q *Queue) fits(w Work) bool {
	if w.Alone {
		return len(q.running) == 0
	}
	return !w.Long || q.long < max(1, int(float64(q.limit.Current())*longShare))
}

// longShare is the part of the places that long work may take.
const longShare = 0.75

// FirstToken notes the first token of a running request.
func (q *Queue) FirstToken(id string, now time.Time) {
	r, known := q.running[id]
	if !known || r.first > 0 {
		return
	}
	r.first = max(1, now.Sub(r.started))
	q.running[id] = r
	q.limit.Observe(r.first, len(q.running), now)
}

// Done ends a running request that used tokens; ok says that it was answered.
func (q *Queue) Done(id string, tokens int64, ok bool, now time.Time) {
	r, known := q.running[id]
	if !known {
		return
	}
	delete(q.running, id)
	q.alone = q.alone && !r.work.Alone
	if r.work.Long {
		q.long--
	}
	q.queue.Adjust(r.work.Workspace, r.work.Weight, r.work.Tokens, tokens)
	if !ok {
		return
	}
	took := now.Sub(r.started)
	if q.service == 0 {
		q.service = took
	}
	q.service += (took - q.service) / 8
}

// Cancel takes out a request that nobody waits for. Waited says that it never ran;
// ran says that it runs and its stream must be cancelled, after which Done is due.
func (q *Queue) Cancel(id string) (waited, ran bool) {
	if _, known := q.waiting[id]; known {
		delete(q.waiting, id)
		q.queue.Remove(id)
		return true, false
	}
	_, ran = q.running[id]
	return false, ran
}

// Refusal is the final word on a request that waited here; it did not run.
type Refusal struct {
	ID  string
	Err error
}

// Expire refuses the waiting requests that cannot end by their deadline.
func (q *Queue) Expire(now time.Time) []Refusal {
	return q.refuse(func(w Work) error {
		if now.Add(q.service).Before(w.Deadline) {
			return nil
		}
		return fault.After(fault.Overloaded, q.Wait(), "the deadline would pass")
	})
}

// Withdraw refuses the waiting requests that matches accepts, with err.
func (q *Queue) Withdraw(matches func(Work) bool, err error) []Refusal {
	return q.refuse(func(w Work) error {
		if matches(w) {
			return err
		}
		return nil
	})
}

func (q *Queue) refuse(verdict func(Work) error) []Refusal {
	var refusals []Refusal
	removed := q.queue.RemoveIf(func(it fair.Item) bool { return verdict(q.waiting[it.ID]) != nil })
	for _, it := range removed {
		refusals = append(refusals, Refusal{it.ID, verdict(q.waiting[it.ID])})
		delete(q.waiting, it.ID)
	}
	return refusals
}

// Drain makes the queue refuse new work; the waiting requests are refused at once, not
// run, so that they go elsewhere while there is time. What runs goes on.
func (q *Queue) Drain() []Refusal {
	q.draining = true
	return q.refuse(func(Work) error { return fault.New(fault.Leaving, "the target takes no new work") })
}

// Idle reports whether nothing runs or waits: a draining target may go.
func (q *Queue) Idle() bool {
	return len(q.running) == 0 && len(q.waiting) == 0
}

// Crash ends everything that ran when the target died. It returns the requests that
// ran, in order of id.
func (q *Queue) Crash(now time.Time) []Work {
	var ran []Work
	for _, id := range sortedNames(q.running) {
		ran = append(ran, q.running[id].work)
		q.Done(id, 0, false, now)
	}
	return ran
}

// Load is what replies carry back to entry hosts.
type Load struct {
	Running int
	Queued  int
	Limit   int
	Service time.Duration
}

// Load returns the present load.
func (q *Queue) Load() Load {
	return Load{len(q.running), len(q.waiting), q.limit.Current(), q.service}
}
