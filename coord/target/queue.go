package target

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: more requests than a target runs at full speed, short and long ones mixed.
// Without it: first tokens are late, requests wait only to miss their deadline, canceled
// requests keep the target busy, and short requests wait for long ones.
// Rule: bound running and waiting requests, reject at once what cannot meet its deadline,
// run suspected requests alone, and keep slots for short work.

const (
	// maxWaitingFactor bounds the waiting requests of each band to a multiple of the
	// concurrency limit, so that long work does not shut out short work; the entry hosts
	// queue the rest. A workspace may have at most as many waiting as there are free places
	// in the band, so that one workspace does not fill the queue.
	maxWaitingFactor = 4
	// longWorkShare is the part of the concurrency limit that long work may use, so that
	// short work always finds slots that become free soon. Long work is all work of
	// fair.MustFinish and work with more than longWorkFactor times the mean tokens.
	longWorkShare  = 0.75
	longWorkFactor = 4
	// prefixLookahead is how many items behind a workspace's first one are examined for a
	// cached prefix; maxSkips is how often an item can be skipped for a later one with a cached prefix.
	prefixLookahead = 8
	maxSkips        = 4
)

// Work is one request at the target.
type Work struct {
	ID         string
	Workspace  string
	KeyID      string
	Model      string
	Band       fair.Band
	Weight     int64 // scheduling weight of the workspace: its rate
	Tokens     int64 // prompt tokens plus the most that may be generated
	Exclusive  bool  // suspected of crashing its target: no other request may run at the same time
	PrefixHash string
	Arrived    time.Time
	Deadline   time.Time
}

// Queue is the run queue of one target.
type Queue struct {
	limit              *ConcurrencyLimit
	prefixes           *Prefixes
	queue              fair.Queue
	waiting            map[string]*waitingWork
	waitingAlone       int                           // waiting requests that must run alone
	waitingByWorkspace [fair.NumBands]map[string]int // waiting requests by workspace, for each band
	running            map[string]*runningWork
	runningLong        int
	runningAlone       bool // a request that must run alone is running
	draining           bool
	stats              fair.ServiceStats
	meanTokens         float64 // moving mean of Work.Tokens of the started requests
}

type waitingWork struct {
	Work
	skipped int // how often a later request with a cached prefix was started first
}

type runningWork struct {
	work    Work
	long    bool
	started time.Time
	ttft    time.Duration // time to first token; 0 until then
}

// NewQueue returns an empty queue for a target that runs up to concurrency requests at
// once at full speed.
func NewQueue(concurrency int) *Queue {
	return &Queue{
		limit:              NewConcurrencyLimit(concurrency),
		prefixes:           NewPrefixes(),
		waiting:            make(map[string]*waitingWork),
		running:            make(map[string]*runningWork),
		waitingByWorkspace: [fair.NumBands]map[string]int{{}, {}, {}},
	}
}

// Prefixes returns the estimated content of the engine's prefix cache, to which the
// engine's cache events are applied.
func (q *Queue) Prefixes() *Prefixes { return q.prefixes }

// Push adds a request to the queue. If it returns an error, the request did not run:
// fault.Leaving while draining, fault.Expired after the deadline, fault.Overloaded if the
// queue is full or the expected wait exceeds the deadline.
func (q *Queue) Push(w Work, now time.Time) error {
	switch {
	case q.draining:
		return fault.New(fault.Leaving, "the target is draining")
	case !now.Before(w.Deadline):
		return fault.New(fault.Expired, "the deadline passed before the request was queued at the target")
	case q.waitingByWorkspace[w.Band][w.Workspace] >= maxWaitingFactor*q.limit.Current()-q.queue.Waiting(w.Band):
		return fault.NewRetryAfter(fault.Overloaded, max(minRetryAfter, q.expectedWait(w)), "%d requests wait", len(q.waiting))
	}
	if late := now.Add(q.expectedWait(w)).Sub(q.latestStart(w)); late > 0 {
		return fault.NewRetryAfter(fault.Overloaded, max(minRetryAfter, late), "the wait would pass the deadline")
	}
	w.Tokens = max(1, w.Tokens)
	q.waiting[w.ID] = &waitingWork{Work: w}
	q.waitingByWorkspace[w.Band][w.Workspace]++
	if w.Exclusive {
		q.waitingAlone++
	}
	q.queue.Push(fair.Item{
		ID: w.ID, Workspace: w.Workspace, Band: w.Band, Weight: w.Weight,
		Tokens: w.Tokens, Deadline: w.Deadline, Arrived: w.Arrived,
	})
	return nil
}

// latestStart returns the latest time at which a request can start and still finish by
// its deadline.
func (q *Queue) latestStart(w Work) time.Time {
	return w.Deadline.Add(-q.stats.Margin(w.Band, w.Deadline.Sub(w.Arrived)))
}

// minRetryAfter is the least retry delay; it prevents clients from retrying in a tight loop.
const minRetryAfter = 10 * time.Millisecond

// expectedWait estimates how long a request that arrives now waits before it starts.
func (q *Queue) expectedWait(w Work) time.Duration {
	if len(q.waiting) == 0 && len(q.running) < q.limit.Current() {
		return 0
	}
	return q.stats.DrainTime(q.queue.TokensAhead(w.Workspace, w.Weight, w.Band))
}

// Pop returns the next request to start, or false if none may start now. It must be called
// until it returns false after each Push, Done, Cancel and Expire.
func (q *Queue) Pop(now time.Time) (Work, bool) {
	if q.runningAlone || len(q.running) >= q.limit.Current() {
		return Work{}, false
	}
	choose := q.choose
	if q.aloneOverdue(now) {
		choose = q.chooseAlone
	}
	it, ok := q.queue.PopBy(choose)
	if !ok {
		return Work{}, false
	}
	q.countSkips(it)
	w := q.removeWaiting(it.ID)
	r := &runningWork{work: w, long: q.isLong(w), started: now}
	q.running[w.ID] = r
	q.runningAlone = w.Exclusive
	if r.long {
		q.runningLong++
	}
	if q.meanTokens == 0 {
		q.meanTokens = float64(w.Tokens)
	}
	q.meanTokens += (float64(w.Tokens) - q.meanTokens) / ewmaWindow
	return w, true
}

// removeWaiting removes a request from the maps and counts of waiting requests, but not
// from q.queue.
func (q *Queue) removeWaiting(id string) Work {
	w := q.waiting[id].Work
	delete(q.waiting, id)
	if w.Exclusive {
		q.waitingAlone--
	}
	q.waitingByWorkspace[w.Band][w.Workspace]--
	if q.waitingByWorkspace[w.Band][w.Workspace] == 0 {
		delete(q.waitingByWorkspace[w.Band], w.Workspace)
	}
	return w
}

// FirstToken records the first token of a running request.
func (q *Queue) FirstToken(id string, now time.Time) {
	r, known := q.running[id]
	if !known || r.ttft > 0 {
		return
	}
	r.ttft = max(1, now.Sub(r.started))
	q.limit.Observe(r.ttft, len(q.running), now)
	q.prefixes.Touch(r.work.PrefixHash)
}

// Done records the end of a running request that used the given number of tokens; ok
// reports whether it was answered.
func (q *Queue) Done(id string, tokens int64, ok bool, now time.Time) {
	r, known := q.running[id]
	if !known {
		return
	}
	delete(q.running, id)
	q.runningAlone = q.runningAlone && !r.work.Exclusive
	if r.long {
		q.runningLong--
	}
	q.queue.Adjust(r.work.Workspace, r.work.Weight, r.work.Tokens, tokens)
	if ok {
		q.stats.Observe(r.work.Band, now.Sub(r.started))
	}
	q.stats.ObserveEnd(now, r.work.Tokens, len(q.waiting) > 0)
}

// Cancel removes a request that its client canceled, if it is waiting; then waited is true
// and the request never ran. If it is running, ran is true: the caller must cancel its
// stream and then call Done.
func (q *Queue) Cancel(id string) (waited, ran bool) {
	if _, known := q.waiting[id]; known {
		q.removeWaiting(id)
		q.queue.Remove(id)
		return true, false
	}
	_, ran = q.running[id]
	return false, ran
}

// Refusal is the rejection of a request that waited in the queue and did not run.
type Refusal struct {
	ID  string
	Err error
}

// Expire rejects the waiting requests that can no longer finish by their deadline.
func (q *Queue) Expire(now time.Time) []Refusal {
	return q.refuse(func(w Work) error {
		if now.Before(q.latestStart(w)) {
			return nil
		}
		return fault.NewRetryAfter(fault.Overloaded, max(minRetryAfter, q.expectedWait(w)), "the request can no longer finish by its deadline")
	})
}

// RevokeKey rejects the waiting requests that were sent with the withdrawn key keyID.
func (q *Queue) RevokeKey(keyID string) []Refusal {
	return q.refuse(func(w Work) error {
		if w.KeyID != keyID {
			return nil
		}
		return fault.New(fault.Unauthenticated, "the key was withdrawn")
	})
}

// refuse removes the waiting requests for which check returns an error, and returns them
// with their errors.
func (q *Queue) refuse(check func(Work) error) []Refusal {
	errs := make(map[string]error)
	removed := q.queue.RemoveIf(func(it fair.Item) bool {
		err := check(q.waiting[it.ID].Work)
		if err != nil {
			errs[it.ID] = err
		}
		return err != nil
	})
	refusals := make([]Refusal, 0, len(removed))
	for _, it := range removed {
		q.removeWaiting(it.ID)
		refusals = append(refusals, Refusal{it.ID, errs[it.ID]})
	}
	return refusals
}

// Drain makes the queue reject new requests, and rejects the waiting ones at once, so that
// they can be retried at another target before their deadline. Running requests continue.
func (q *Queue) Drain() []Refusal {
	q.draining = true
	return q.refuse(func(Work) error { return fault.New(fault.Leaving, "the target is draining") })
}

// Idle reports whether no request is running or waiting: a draining target can then stop.
func (q *Queue) Idle() bool {
	return len(q.running) == 0 && len(q.waiting) == 0
}

// TargetCrashed records a crash of the target: it ends all running requests and returns them
// sorted by ID.
func (q *Queue) TargetCrashed(now time.Time) []Work {
	var ran []Work
	for _, id := range slices.Sorted(maps.Keys(q.running)) {
		ran = append(ran, q.running[id].work)
		q.Done(id, 0, false, now)
	}
	q.prefixes.Reset()
	return ran
}

// QueueLoad is the load of a target, as reported to entry hosts in replies.
type QueueLoad struct {
	Running     int
	Queued      int
	Limit       int
	ServiceTime time.Duration // mean service time of interactive requests
}

// Load returns the current load.
func (q *Queue) Load() QueueLoad {
	return QueueLoad{len(q.running), len(q.waiting), q.limit.Current(), q.stats.Mean(fair.Interactive)}
}
