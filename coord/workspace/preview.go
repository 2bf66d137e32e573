package workspace

import (
	"slices"
	"time"
)

// Preview reports what Charge would decide now: whether the request would wait for tokens, or the
// error that it would be refused with. It charges and queues nothing. Errors: those of Charge.
func (h *Holder) Preview(ws string, tokens int64, until, now time.Time) (waits bool, err error) {
	scratch := *h
	scratch.accounts = map[string]*account{}
	if a, known := h.accounts[ws]; known {
		scratch.accounts[ws] = a.copy()
	}
	_, waits, err = scratch.Charge("", ws, tokens, until, now)
	return waits, err
}

// copy returns a copy that shares nothing with a.
func (a *account) copy() *account {
	c := *a
	c.queue = slices.Clone(a.queue)
	c.refunds = slices.Clone(a.refunds)
	return &c
}
