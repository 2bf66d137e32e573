package target

import (
	"time"

	"cowsliptiller/coord/fair"
)

// Which waiting request starts next: see queue.go for the load pattern.

// aloneIsDue reports whether a request that must run alone has waited for as long as
// a usual one takes. From then on nothing else starts: others that keep starting would
// keep it from ever running.
func (q *Queue) aloneIsDue(now time.Time) bool {
	if q.suspects == 0 {
		return false
	}
	for _, w := range q.waiting {
		if w.Alone && now.Sub(w.Arrived) >= q.speed.Mean(w.Band) {
			return true
		}
	}
	return false
}

func (q *Queue) chooseAlone(items []fair.Item) int {
	for i, it := range items {
		if w := q.waiting[it.ID]; w.Alone && q.fits(w.Work) {
			return i
		}
	}
	return -1
}

// choose picks the first item of a workspace that may run, or one close behind it
// whose prefix is cached when that of the first is not.
func (q *Queue) choose(items []fair.Item) int {
	first := -1
	for i, it := range items {
		w := q.waiting[it.ID]
		if !q.fits(w.Work) {
			continue
		}
		hot := q.prefixes.Has(w.Prefix)
		switch {
		case first < 0 && (hot || w.passed >= maxPassed):
			return i
		case first < 0:
			first = i
		case hot:
			return i
		}
		if i >= prefixLook {
			break
		}
	}
	return first
}

// notePassed counts the turn for those of its workspace that came before a request
// with a cached prefix and may run too. It stands apart from choose, which looks at
// workspaces that are not served in the end.
func (q *Queue) notePassed(next fair.Item) {
	if !q.prefixes.Has(q.waiting[next.ID].Prefix) {
		return
	}
	for _, w := range q.waiting {
		if w.Workspace == next.Workspace && w.Band == next.Band && w.Arrived.Before(next.Arrived) {
			w.passed++
		}
	}
}

// fits reports whether a request may run beside what runs now.
func (q *Queue) fits(w Work) bool {
	if w.Alone {
		return len(q.running) == 0
	}
	return !q.isLong(w) || q.long < max(1, int(float64(q.limit.Current())*longShare))
}

func (q *Queue) isLong(w Work) bool {
	return w.Band == fair.MustFinish || q.tokens > 0 && float64(w.Tokens) > longFactor*q.tokens
}
