package gateway

import "context"

// claim records that the present attempt continues the answer, with an event or, if that is nil, with
// another part. It reports false once a second attempt continues the answer: the part must not be
// forwarded then.
func (r *relay) claim(event []byte) bool {
	id, hasID := eventID(event)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.continueFirst() {
		return false
	}
	r.begun = true
	if event != nil {
		r.events++
	}
	if hasID {
		r.lastEvent = id
	}
	return true
}

// keep cancels a second attempt in progress: the present one has begun or completed the answer.
func (r *relay) keep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.continueFirst()
}

// continueFirst reports whether the present attempt continues the answer. The caller holds mu.
func (r *relay) continueFirst() bool {
	forward, outdated := r.handover.Continue()
	if outdated {
		r.cancelSecond(errOutdated)
	}
	return forward
}

// position returns the id of the last complete event that is forwarded, and the number of events.
func (r *relay) position() (lastEvent string, events uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEvent, r.events
}

// mayMove reports whether a second attempt may begin.
func (r *relay) mayMove() bool {
	now := r.gateway.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isMovable() && r.handover.MayBegin(now)
}

// isMovable reports whether another target can continue the answer. The caller holds mu.
func (r *relay) isMovable() bool { return !r.begun || r.resumable() }

// beginSecond records that a second attempt begins, unless it may not. It continues after lastEvent.
func (r *relay) beginSecond(cancel context.CancelCauseFunc) (lastEvent string, ok bool) {
	now := r.gateway.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isMovable() || !r.handover.MayBegin(now) {
		return "", false
	}
	r.handover.Begin()
	r.cancelSecond = cancel
	return r.lastEvent, true
}

// secondFailed records that a second attempt has failed, or could not begin.
func (r *relay) secondFailed() {
	now := r.gateway.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handover.Failed(now)
}

// takeOver reports whether the second attempt continues the answer. If so, it cancels the first one.
func (r *relay) takeOver(cancelFirst func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.handover.TakeOver() {
		return false
	}
	cancelFirst()
	return true
}

// completeHandover records that the second attempt is the present one.
func (r *relay) completeHandover() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handover.Complete()
}
