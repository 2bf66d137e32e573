package agent

import (
	"context"
	"sync"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/target"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/wire"
)

const (
	// expireEvery is how often waiting requests are compared with their deadlines.
	expireEvery = 20 * time.Millisecond
)

// queue lets requests go to the target in the order of target.Queue. A request
// waits here, in its own goroutine, until it is its turn or it cannot be met.
type queue struct {
	now func() time.Time

	mu      sync.Mutex // a leaf
	queue   *target.Queue
	turns   map[string]chan error // of the waiting requests
	crashes map[string]int        // requests of a crashed batch -> neighbours
	barred  map[string]bool       // keys that the view shows as withdrawn
}

func newQueue(now func() time.Time, concurrency int) *queue {
	return &queue{
		now:     now,
		queue:   target.NewQueue(concurrency),
		turns:   map[string]chan error{},
		crashes: map[string]int{},
		barred:  map[string]bool{},
	}
}

// enter returns nil when it is the request's turn; done must follow. Errors:
// those of target.Queue, all not run.
func (q *queue) enter(ctx context.Context, r *wire.Request, body []byte) error {
	turn, err := q.push(r, body)
	if err != nil {
		return err
	}
	select {
	case err := <-turn:
		return err
	case <-ctx.Done():
		q.cancel(r.Attempt)
		return ctx.Err()
	}
}

func (q *queue) push(r *wire.Request, body []byte) (chan error, error) {
	work := workOf(r, body, q.now())
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.barred[r.KeyID] {
		return nil, errWithdrawn()
	}
	if err := q.queue.Push(work, work.Arrived); err != nil {
		return nil, err
	}
	turn := make(chan error, 1)
	q.turns[r.Attempt] = turn
	q.pump()
	return turn, nil
}

func workOf(r *wire.Request, body []byte, now time.Time) target.Work {
	return target.Work{
		ID:         r.Attempt,
		Workspace:  r.Workspace,
		KeyID:      r.KeyID,
		Model:      r.Model,
		Band:       fair.Band(r.Priority),
		Weight:     r.Weight,
		Tokens:     r.Tokens,
		Exclusive:  r.Exclusive,
		PrefixHash: prefixOf(r, body),
		Arrived:    now,
		Deadline:   now.Add(r.Timeout),
	}
}

// cancel takes out a request that nobody waits for, or ends the turn that it
// was just given.
func (q *queue) cancel(attempt string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.turns, attempt)
	if _, ran := q.queue.Cancel(attempt); ran {
		q.queue.Done(attempt, 0, false, q.now())
	}
	q.pump()
}

// done ends a request's turn.
func (q *queue) done(attempt string, tokens int64, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.crashes, attempt)
	q.queue.Done(attempt, tokens, ok, q.now())
	q.pump()
}

// firstToken notes that a request's answer has begun.
func (q *queue) firstToken(attempt string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.FirstToken(attempt, q.now())
}

// crash notes that the target died while a request ran, and returns how many
// others ran with it. Whoever comes first ends the whole batch; the rest of it
// finds itself recorded.
func (q *queue) crash(attempt string) (neighbours int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if neighbours, recorded := q.crashes[attempt]; recorded {
		return neighbours
	}
	ran := q.queue.TargetCrashed(q.now())
	for _, work := range ran {
		q.crashes[work.ID] = len(ran) - 1
	}
	q.pump()
	return q.crashes[attempt]
}

// drain refuses what waits and all that still comes; what runs goes on.
func (q *queue) drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuse(q.queue.Drain())
}

// withdraw takes all keys that the view shows as withdrawn. It refuses at once
// what waits with one of them, and what comes with one later: a request that was
// checked against the view before may still be on its way into the queue.
func (q *queue) withdraw(keys map[string]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range keys {
		if !q.barred[id] {
			q.refuse(q.queue.RevokeKey(id))
		}
	}
	q.barred = keys
	q.pump()
}

// expire refuses what cannot be met any more.
func (q *queue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuse(q.queue.Expire(q.now()))
}

// pump starts what may start; the caller holds mu.
func (q *queue) pump() {
	for {
		work, ok := q.queue.Pop(q.now())
		if !ok {
			return
		}
		q.tell(work.ID, nil)
	}
}

func (q *queue) refuse(refusals []target.Refusal) {
	for _, r := range refusals {
		q.tell(r.ID, r.Err)
	}
}

// tell gives a waiting request its turn or its refusal; the caller holds mu.
func (q *queue) tell(attempt string, err error) {
	turn, ok := q.turns[attempt]
	if !ok {
		return
	}
	delete(q.turns, attempt)
	turn <- err
}

// load reports how busy the target is.
func (q *queue) load() *rpc.LoadReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queue.Load()
	return &rpc.LoadReport{Running: uint32(l.Running), Queued: uint32(l.Queued), Limit: uint32(l.Limit), ServiceUs: l.ServiceTime.Microseconds()}
}

// run keeps the deadlines until the context ends.
func (q *queue) run(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.expire()
		}
	}
}
