package target

import (
	"time"

	"cowsliptiller/coord/fair"
)

// Selection of the next request to start. The load pattern is described in queue.go.

// aloneOverdue reports whether a request that must run alone has waited for at least the
// mean service time of its band. From then on no other request is started: otherwise a
// steady flow of requests would starve it.
func (q *Queue) aloneOverdue(now time.Time) bool {
	if q.waitingAlone == 0 {
		return false
	}
	for _, w := range q.waiting {
		if w.Exclusive && now.Sub(w.Arrived) >= q.stats.Mean(w.Band) {
			return true
		}
	}
	return false
}

// chooseAlone returns the index of the first item that must run alone and may start now,
// or -1.
func (q *Queue) chooseAlone(items []fair.Item) int {
	for i, it := range items {
		if w := q.waiting[it.ID]; w.Exclusive && q.fits(w.Work) {
			return i
		}
	}
	return -1
}

// choose returns the index of the first item of a workspace that may start, or of a later
// one within prefixLookahead if only the later one has a cached prefix; -1 if none may
// start. An item that was skipped maxSkips times is not skipped again.
func (q *Queue) choose(items []fair.Item) int {
	first := -1
	for i, it := range items {
		w := q.waiting[it.ID]
		if !q.fits(w.Work) {
			continue
		}
		cached := q.prefixes.Has(w.PrefixHash)
		switch {
		case first < 0 && (cached || w.skipped >= maxSkips):
			return i
		case first < 0:
			first = i
		case cached:
			return i
		}
		if i >= prefixLookahead {
			break
		}
	}
	return first
}

// countSkips increments the skip count of the requests of the same workspace and band
// that arrived before next, if next has a cached prefix. It is not part of choose because
// choose also examines workspaces that are then not served.
func (q *Queue) countSkips(next fair.Item) {
	if !q.prefixes.Has(q.waiting[next.ID].PrefixHash) {
		return
	}
	for _, w := range q.waiting {
		if w.Workspace == next.Workspace && w.Band == next.Band && w.Arrived.Before(next.Arrived) {
			w.skipped++
		}
	}
}

// fits reports whether a request may start in addition to the running ones.
func (q *Queue) fits(w Work) bool {
	if w.Exclusive {
		return len(q.running) == 0
	}
	return !q.isLong(w) || q.runningLong < max(1, int(float64(q.limit.Current())*longWorkShare))
}

// isLong reports whether a request counts as long work: see longWorkFactor.
func (q *Queue) isLong(w Work) bool {
	return w.Band == fair.MustFinish || q.meanTokens > 0 && float64(w.Tokens) > longWorkFactor*q.meanTokens
}
