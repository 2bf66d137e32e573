// Package fair orders waiting work: classes first, then workspaces by the tokens
// that each was served, then time. Entry hosts and agents use the same order.
//
// A Queue is plain data without a lock; its owner guards it.
package fair
