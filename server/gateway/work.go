package gateway

import (
	"time"

	"cowsliptiller/coord/copies"
)

const (
	// countedLife is for how long at least a request is known as counted: longer than the Retry-After of any
	// refusal for lack of room. maxCounted bounds the requests that are known.
	countedLife = 15 * time.Second
	maxCounted  = 16384
)

// offeredWork sums the work that callers of this host offer by model, for the leader's plan of copies. It is
// guarded by the lock of targets.
type offeredWork struct {
	byModel map[string]copies.Work // since the last poll of the board
	counted countedRequests
}

func newOfferedWork() *offeredWork {
	return &offeredWork{byModel: map[string]copies.Work{}}
}

// take returns the work offered for a model since the last poll and begins anew.
func (w *offeredWork) take(model string) copies.Work {
	work := w.byModel[model]
	delete(w.byModel, model)
	return work
}

// recordWork adds a request to the work that is offered for its model, whether it will be served or refused. A
// caller that returns after a refusal, with the same request id, and a resumed stream are not counted again.
func (t *targets) recordWork(c *call) {
	if !c.route.Streaming || c.LastEvent != "" || c.Resumes != "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.contended(c.service.Name) || t.work.counted.seen(c.countedID(), t.config.Now()) {
		return
	}
	work := t.work.byModel[c.Model]
	work.SlotSeconds += t.backlog.MeanRun(c.service.Name).Seconds()
	if c.HasTokenCounts {
		work.PromptSeconds += float64(c.PromptTokens) * t.secondsPerToken(rateName(c))
	}
	t.work.byModel[c.Model] = work.Valid()
}

// countedID identifies a caller's request; empty: its id is not known.
func (c *call) countedID() string {
	if c.RequestID == "" || c.workspace == nil {
		return c.RequestID
	}
	return c.workspace.Name + "/" + c.RequestID
}

// countedRequests knows the requests that were counted within countedLife, and at most maxCounted. The zero
// value knows none.
type countedRequests struct {
	newer, older map[string]bool
	turnedAt     time.Time // when newer was begun
}

// seen reports whether a request was counted lately, and counts it. A request without an id is never known.
func (r *countedRequests) seen(id string, now time.Time) bool {
	if id == "" {
		return false
	}
	if r.newer == nil || now.Sub(r.turnedAt) > countedLife || len(r.newer) >= maxCounted/2 {
		r.newer, r.older, r.turnedAt = map[string]bool{}, r.newer, now
	}
	known := r.newer[id] || r.older[id]
	r.newer[id] = true
	return known
}
