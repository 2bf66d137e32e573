package workspace

import "time"

// Charge is a request's charge against its workspace. The unexported fields are valid only
// for the holder that returned it.
type Charge struct {
	Workspace string
	Tokens    int64
	sequence  uint64 // of the first Draw that reports it
	slot      int64  // index of its slot in the spend window
}

// Outcome is the final result of a request that waited for tokens.
type Outcome struct {
	ID     string
	Charge Charge // valid if Err is nil
	Err    error  // fault.RateLimited with a retry-after, fault.NoQuorum, or nil
}

// spendWindow is the sliding sum of charges less refunds over the last window.
type spendWindow struct {
	slotLength time.Duration
	sums       [windowSlots + 1]int64
	firstSlot  int64 // index of the oldest slot in the sum
}

// windowSlots is the resolution of a window. The sum has one slot more, so that it always
// covers the whole window while the current slot is filling.
const windowSlots = 32

func newSpendWindow(window time.Duration) spendWindow {
	return spendWindow{slotLength: max(time.Millisecond, window/windowSlots+1)}
}

// advance drops the slots that are outdated at uptime and returns the current one.
func (w *spendWindow) advance(uptime time.Duration) int64 {
	n := int64(uptime / w.slotLength)
	if n-w.firstSlot > 2*windowSlots {
		w.sums = [windowSlots + 1]int64{}
		w.firstSlot = n - windowSlots
	}
	for ; w.firstSlot < n-windowSlots; w.firstSlot++ {
		w.sums[w.firstSlot%(windowSlots+1)] = 0
	}
	return n
}

func (w *spendWindow) add(uptime time.Duration, tokens int64) int64 {
	n := w.advance(uptime)
	w.sums[n%(windowSlots+1)] += tokens
	return n
}

// refund subtracts tokens from the slot of their charge, if that is still in the window.
func (w *spendWindow) refund(slot, tokens int64) {
	if slot >= w.firstSlot {
		w.sums[slot%(windowSlots+1)] -= tokens
	}
}

// sumOrZero returns the sum, or 0 for the zero value of spendWindow.
func (w *spendWindow) sumOrZero(uptime time.Duration) int64 {
	if w.slotLength == 0 {
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
