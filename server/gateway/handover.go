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
		r.claimed()
	}
	if hasID {
		r.lastEvent = id
	}
	return true
}

// keep cancels a second attempt in progress: the present one has begun to answer.
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

// beginSecond records that a second attempt of a plain call begins. It reports false if it may not.
func (r *relay) beginSecond(cancel context.CancelCauseFunc) bool {
	now := r.gateway.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isMovable() || !r.handover.MayBegin(now) {
		return false
	}
	r.handover.Begin()
	r.cancelSecond = cancel
	return true
}

// leave records that the call's next attempt continues the answer, unless the present one has continued it after
// lastEvent or has ended. If so, it cancels the present one.
func (r *relay) leave(lastEvent string, cancel func()) bool {
	now := r.gateway.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isMovable() || r.lastEvent != lastEvent || !r.handover.MayBegin(now) {
		return false
	}
	r.handover.Leave()
	cancel()
	return true
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

// end records that the present attempt has ended. It cancels a second attempt in progress if the call
// is answered.
func (r *relay) end(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handover.End(answered) {
		r.cancelSecond(errOutdated)
	}
}

// next records that the call's next attempt begins, or a second one is the present one.
func (r *relay) next() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handover.Next()
}

// setEventStream records that the answer is a stream of events.
func (r *relay) setEventStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventStream = true
}
