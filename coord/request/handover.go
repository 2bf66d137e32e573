package request

import "time"

// Load pattern: targets, or the links to them, pause for about a second while they answer calls, and
// the other targets have no room for these calls.
// Without it: an answer leaves its target before another one has taken the call. That one refuses it or
// does not respond either, and an answer that its first target would have continued is broken off.
// Rule: a second attempt of a plain call begins beside the first, whichever answers first continues, and the
// other one is canceled. A stream leaves its target once another one has reserved a place for it.

const (
	// minHandoverPause and maxHandoverPause bound the interval, doubled each time, between a second
	// attempt that failed and the next one.
	minHandoverPause = 250 * time.Millisecond
	maxHandoverPause = 2 * time.Second
)

// Handover decides which of two attempts of a call continues its answer. The zero value has one
// attempt. It is not safe for concurrent use.
type Handover struct {
	state     handoverState
	over      bool          // the first attempt has ended
	pause     time.Duration // after the latest second attempt that failed
	notBefore time.Time     // when the next second attempt may begin
}

type handoverState int

const (
	oneAttempt  handoverState = iota
	twoAttempts               // the second has not begun to answer
	handedOver                // another attempt continues the answer
)

// MayBegin reports whether a second attempt may begin.
func (h *Handover) MayBegin(now time.Time) bool {
	return h.state == oneAttempt && !h.over && !now.Before(h.notBefore)
}

// Begin records that a second attempt begins. MayBegin must have reported true.
func (h *Handover) Begin() { h.state = twoAttempts }

// Continue records that the first attempt has sent a part of the answer. It reports whether that part
// is to be forwarded: it is not once the second attempt continues the answer. A second attempt that
// has not begun to answer is outdated then and must be canceled.
func (h *Handover) Continue() (forward, outdated bool) {
	if h.state == handedOver {
		return false, false
	}
	outdated = h.state == twoAttempts
	h.state = oneAttempt
	return true, outdated
}

// TakeOver records that the second attempt has begun to answer. It reports whether it continues the
// answer; if not, the first attempt has continued it and the second one must be canceled.
func (h *Handover) TakeOver() bool {
	if h.state != twoAttempts {
		return false
	}
	h.state = handedOver
	return true
}

// Leave records that the call's next attempt continues the answer. MayBegin must have reported true. The first
// attempt must be canceled before that one begins.
func (h *Handover) Leave() { h.state = handedOver }

// Failed records that a second attempt has ended without an answer, or could not begin.
func (h *Handover) Failed(now time.Time) {
	if h.state == twoAttempts {
		h.state = oneAttempt
	}
	h.pause = min(max(2*h.pause, minHandoverPause), maxHandoverPause)
	h.notBefore = now.Add(h.pause)
}

// End records that the first attempt has ended, so that no second one may begin. It reports whether one
// in progress is outdated, because the first has answered the call, and must be canceled; otherwise that
// one is the call's next attempt.
func (h *Handover) End(answered bool) (outdated bool) {
	h.over = true
	outdated = h.state == twoAttempts && answered
	if outdated {
		h.state = oneAttempt
	}
	return outdated
}

// Next records that the call's next attempt is its only one.
func (h *Handover) Next() { h.state, h.over = oneAttempt, false }
