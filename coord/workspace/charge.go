package workspace

import "time"

// Charge is a request's charge against its workspace. Its fields are the holder's.
type Charge struct {
	Workspace string
	Tokens    int64
	sequence  uint64 // of the message that reports it first
	slot      int64  // of the spend window
}

// Outcome is the final word on a request that waited for tokens.
type Outcome struct {
	ID     string
	Charge Charge // when Err is nil
	Err    error  // fault.RateLimited with a retry-after, or nil
}

// spendWindow sums what was charged less what was refunded in the last window.
type spendWindow struct {
	slot  time.Duration
	sums  [windowSlots + 1]int64
	first int64 // number of the oldest slot that counts
}

// windowSlots is the resolution of a window. One more slot is kept, so that the sum
// covers the window whole at any time.
const windowSlots = 32

func newSpendWindow(window time.Duration) spendWindow {
	return spendWindow{slot: max(time.Millisecond, window/windowSlots+1)}
}

// advance drops the slots that are past at uptime and returns the present one.
func (w *spendWindow) advance(uptime time.Duration) int64 {
	n := int64(uptime / w.slot)
	if n-w.first > 2*windowSlots {
		w.sums = [windowSlots + 1]int64{}
		w.first = n - windowSlots
	}
	for ; w.first < n-windowSlots; w.first++ {
		w.sums[w.first%(windowSlots+1)] = 0
	}
	return n
}

func (w *spendWindow) add(uptime time.Duration, tokens int64) int64 {
	n := w.advance(uptime)
	w.sums[n%(windowSlots+1)] += tokens
	return n
}

// refund takes tokens from the slot in which they were charged, if it still counts.
func (w *spendWindow) refund(slot, tokens int64) {
	if slot >= w.first {
		w.sums[slot%(windowSlots+1)] -= tokens
	}
}

// sumIfAny is sum for a window that may not have been set up.
func (w *spendWindow) sumIfAny(uptime time.Duration) int64 {
	if w.slot == 0 {
		return 0
	}
	return w.sum(uptime)
}

func (w *spendWindow) sum(uptime time.Duration) int64 {
	w.advance(uptime)
	total := int64(0)
	for _, s := range w.sums {
		total += s
	}
	return total
}
