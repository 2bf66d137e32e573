package request

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: sustained overload at every entry host, calls for models that are still
// loading, callers that give up, and one workspace that sends several times its share.
// Without it: queues grow until every answer is late and memory runs out.
// Rule: bound the calls and bytes per host and per workspace, and refuse a call on arrival
// if its estimated wait exceeds its deadline, so that its caller can retry elsewhere.
//
// The limit per workspace is the dynamic threshold of Choudhury and Hahne (1998): a
// workspace may hold as much as is free. A single one gets half of the host, and a new one
// always finds room. Without this limit the heaviest sender fills the host, and the others
// are refused before fair queueing applies. The class windows (type classQueue) bound what
// goes on to the agents.

// Bounds limits the calls, and the bytes of their bodies, that an entry host holds at
// once, queued and running.
type Bounds struct {
	Calls int
	Bytes int64
}

// Pending is a call as admission control sees it.
type Pending struct {
	ID          string
	Workspace   string
	KeyID       string
	Destination string // model or service
	Class       Class
	Weight      int64 // fair-share weight: the rate of the workspace, in tokens per second
	Tokens      int64 // upper bound: prompt plus the maximum to generate
	Bytes       int64 // size of the request body
	Arrived     time.Time
	Deadline    time.Time
}

// Refusal is the error with which a queued call ends.
type Refusal struct {
	ID  string
	Err error
}

// Admission is the admission control of one entry host: it queues calls and selects the
// next one to start. It is not safe for concurrent use.
type Admission struct {
	bounds           Bounds
	calls            int
	bytes            int64
	destinations     map[string]*destination
	pending          map[string]Pending // queued, by ID
	running          map[string]Pending // started, by ID
	usageByWorkspace map[string]usage
	nextExpiry       time.Time // lower bound of the expiry of all queued calls
}

// usage counts the calls of one workspace, queued and running, and the bytes of their bodies.
type usage struct {
	calls int
	bytes int64
}

// NewAdmission returns an Admission without calls.
func NewAdmission(b Bounds) *Admission {
	return &Admission{
		bounds:           b,
		destinations:     make(map[string]*destination),
		pending:          make(map[string]Pending),
		running:          make(map[string]Pending),
		usageByWorkspace: make(map[string]usage),
	}
}

func (a *Admission) destination(name string) *destination {
	d, known := a.destinations[name]
	if !known {
		d = newDestination()
		a.destinations[name] = d
	}
	return d
}

// Enqueue queues a new call. Errors: fault.Overloaded when the bounds are reached or the
// estimated wait exceeds the deadline, fault.NoCapacity when no replica can be ready in
// time or no target can hold the destination. Both carry a RetryAfter, except when no
// target can hold the destination.
func (a *Admission) Enqueue(p Pending, now time.Time) error {
	if a.has(p.ID) {
		return fault.New(fault.Internal, "request %s is already queued or running", p.ID)
	}
	d := a.destination(p.Destination)
	used := a.usageByWorkspace[p.Workspace]
	if used.calls >= a.bounds.Calls-a.calls || used.bytes+p.Bytes > a.bounds.Bytes-a.bytes {
		return fault.NewRetryAfter(fault.Overloaded, max(d.classQueue(p).estimateWait(p), minRetryAfter), "the entry host has no room left for calls of this workspace")
	}
	if err := d.checkFeasible(p, now); err != nil {
		return err
	}
	a.addUsage(p, 1)
	a.enqueue(p, d)
	return nil
}

func (a *Admission) has(id string) bool {
	_, queued := a.pending[id]
	_, running := a.running[id]
	return queued || running
}

// minRetryAfter keeps refused callers from retrying in a tight loop.
const minRetryAfter = 50 * time.Millisecond

func (a *Admission) enqueue(p Pending, d *destination) {
	a.pending[p.ID] = p
	d.classQueue(p).queue.Push(p.item())
	if at := d.expiry(p); a.nextExpiry.IsZero() || at.Before(a.nextExpiry) {
		a.nextExpiry = at
	}
}

// addUsage adds a call to the totals, or removes it if sign is -1.
func (a *Admission) addUsage(p Pending, sign int) {
	a.calls += sign
	a.bytes += int64(sign) * p.Bytes
	used := a.usageByWorkspace[p.Workspace]
	used.calls += sign
	used.bytes += int64(sign) * p.Bytes
	a.usageByWorkspace[p.Workspace] = used
	if used.calls == 0 {
		delete(a.usageByWorkspace, p.Workspace)
	}
}

func (p Pending) item() fair.Item {
	return fair.Item{
		ID: p.ID, Workspace: p.Workspace, Band: p.Class.Band, Weight: p.Weight,
		Tokens: max(1, p.Tokens), Deadline: p.Deadline, Arrived: p.Arrived,
	}
}

// SetForecast records when a destination is expected to have a replica; possible is false if
// no target can hold it. It returns the queued calls that cannot meet their deadline under
// this forecast; they are no longer queued.
func (a *Admission) SetForecast(name string, possible bool, readyAt, now time.Time) []Refusal {
	d := a.destination(name)
	d.possible, d.readyAt = possible, readyAt
	return a.refuseIf(name, func(p Pending) error {
		if !possible {
			return noTargetError(name)
		}
		if late := readyAt.Sub(d.expiry(p)); late > 0 {
			return fault.NewRetryAfter(fault.NoCapacity, late, "%s cannot be loaded before the deadline", name)
		}
		return nil
	})
}

// refuseIf removes the queued calls of a destination for which check returns an error, and
// returns them with this error.
func (a *Admission) refuseIf(name string, check func(Pending) error) []Refusal {
	d := a.destination(name)
	var refusals []Refusal
	for i := range d.queues {
		errs := make(map[string]error)
		removed := d.queues[i].queue.RemoveIf(func(it fair.Item) bool {
			err := check(a.pending[it.ID])
			if err != nil {
				errs[it.ID] = err
			}
			return err != nil
		})
		for _, it := range removed {
			a.removePending(it.ID)
			refusals = append(refusals, Refusal{it.ID, errs[it.ID]})
		}
	}
	return refusals
}

func (a *Admission) removePending(id string) {
	p, known := a.pending[id]
	if !known {
		return
	}
	delete(a.pending, id)
	a.addUsage(p, -1)
}

// Next moves one queued call of a destination to the running ones and returns it, if one
// may start. After each event that concerns the destination, call it until it returns
// false.
func (a *Admission) Next(name string, now time.Time) (Pending, bool) {
	d, known := a.destinations[name]
	if !known || d.readyAt.After(now) || !d.possible {
		return Pending{}, false
	}
	for i := range d.queues {
		q := &d.queues[i]
		if !q.hasRoom() {
			continue
		}
		it, ok := q.queue.Pop()
		if !ok {
			continue
		}
		p := a.pending[it.ID]
		delete(a.pending, it.ID)
		a.running[it.ID] = p
		q.inFlight++
		return p, true
	}
	return Pending{}, false
}

// Requeue requeues a started call that was refused without having run; it returns to its
// place in the order. The caller must have checked the retry budget. Error:
// fault.Overloaded when the call can no longer meet its deadline; it is then removed.
func (a *Admission) Requeue(id string, now time.Time) error {
	p, known := a.running[id]
	if !known {
		return fault.New(fault.Internal, "request %s is not running", id)
	}
	delete(a.running, id)
	d := a.destination(p.Destination)
	q := d.classQueue(p)
	q.inFlight--
	q.queue.Adjust(p.Workspace, p.Weight, max(1, p.Tokens), 0)
	if !now.Before(d.expiry(p)) {
		a.addUsage(p, -1)
		return fault.NewRetryAfter(fault.Overloaded, max(q.estimateWait(p), minRetryAfter), "the request cannot complete before its deadline")
	}
	a.enqueue(p, d)
	return nil
}

// ReportOverload records that an agent refused a started call because of overload.
func (a *Admission) ReportOverload(id string, now time.Time) {
	if p, known := a.running[id]; known {
		a.destination(p.Destination).classQueue(p).decreaseWindow(p.Class.Band, now)
	}
}

// Done removes a started call. Served is the number of tokens that it used; took is the
// time from hand-over to the complete answer, 0 if the call did not succeed.
func (a *Admission) Done(id string, served int64, took time.Duration, now time.Time) {
	p, known := a.running[id]
	if !known {
		return
	}
	delete(a.running, id)
	a.addUsage(p, -1)
	q := a.destination(p.Destination).classQueue(p)
	if took > 0 {
		q.increaseWindow()
	}
	q.inFlight--
	q.queue.Adjust(p.Workspace, p.Weight, max(1, p.Tokens), served)
	if took > 0 {
		// A larger margin makes queued calls expire earlier, by at most this amount.
		a.nextExpiry = a.nextExpiry.Add(-q.stats.Observe(p.Class.Band, took))
		q.stats.ObserveEnd(now, max(1, p.Tokens), q.queue.Len() > 0)
	}
}

// Cancel removes a queued call whose caller has disconnected. It reports false if the call
// is not queued.
func (a *Admission) Cancel(id string) bool {
	p, known := a.pending[id]
	if !known {
		return false
	}
	a.destination(p.Destination).classQueue(p).queue.Remove(id)
	a.removePending(id)
	return true
}

// RevokeKey removes and returns the queued calls that were made with a withdrawn key.
func (a *Admission) RevokeKey(keyID string) []Refusal {
	var refusals []Refusal
	for _, name := range slices.Sorted(maps.Keys(a.destinations)) {
		refusals = append(refusals, a.refuseIf(name, func(p Pending) error {
			if p.KeyID != keyID {
				return nil
			}
			return fault.New(fault.Unauthenticated, "the key was withdrawn")
		})...)
	}
	return refusals
}

// Expire removes and returns the queued calls that can no longer meet their deadline.
func (a *Admission) Expire(now time.Time) []Refusal {
	if len(a.pending) == 0 || now.Before(a.nextExpiry) {
		return nil
	}
	var refusals []Refusal
	for _, name := range slices.Sorted(maps.Keys(a.destinations)) {
		d := a.destinations[name]
		refusals = append(refusals, a.refuseIf(name, func(p Pending) error {
			if now.Before(d.expiry(p)) {
				return nil
			}
			return fault.NewRetryAfter(fault.Overloaded, max(d.classQueue(p).estimateWait(p), minRetryAfter), "the wait for %s would pass the deadline", name)
		})...)
	}
	a.nextExpiry = time.Time{}
	for _, p := range a.pending {
		at := a.destinations[p.Destination].expiry(p)
		if a.nextExpiry.IsZero() || at.Before(a.nextExpiry) {
			a.nextExpiry = at
		}
	}
	return refusals
}

// NextExpiry returns the earliest time at which Expire may have calls to remove, or the zero
// time if none is queued.
func (a *Admission) NextExpiry() time.Time {
	if len(a.pending) == 0 {
		return time.Time{}
	}
	return a.nextExpiry
}

// Usage returns the number of calls, queued and running, and the bytes of their bodies.
func (a *Admission) Usage() (calls int, bytes int64) {
	return a.calls, a.bytes
}
