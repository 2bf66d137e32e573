package routing

import "time"

// Load pattern: overloaded targets refuse requests and request a backoff of each host; targets that
// leave announce it in their answers before the view shows it.
// Without it: each new request of the host is refused there once more, and adds to the load, or
// runs at a target that ends soon.
// Rule: no request goes to a target before its backoff has ended, or once it has announced that it
// leaves.

// leavingMemory is how long the announcement of a target that is missing from the view is kept. A
// view that is incomplete after a change of leader lacks targets for a second.
const leavingMemory = time.Minute

// notice is what a target has announced to this host in its answers, in one lifetime.
type notice struct {
	startedUnixMs int64 // start of the target; 0: not known
	backoffUntil  time.Time
	leavingAt     time.Time // of the newest answer that says so; zero: none did
}

// sameLifetime reports whether two starts of a target may be the same one.
func sameLifetime(a, b int64) bool { return a == 0 || b == 0 || a == b }

// SetBackoff records that a target requested a backoff, and reports whether none was in force. A
// backoff that ends earlier than the one in force does not shorten it.
func (r *Router) SetBackoff(name string, startedUnixMs int64, backoff time.Duration, now time.Time) (began bool) {
	n := r.noticeOf(name, startedUnixMs)
	began = !now.Before(n.backoffUntil)
	if until := now.Add(backoff); until.After(n.backoffUntil) {
		n.backoffUntil = until
	}
	return began
}

// SetLeaving records that a target announced that it leaves, and reports whether that is new. It
// holds for the target's lifetime: answers without the announcement may be older.
func (r *Router) SetLeaving(name string, startedUnixMs int64, now time.Time) (first bool) {
	n := r.noticeOf(name, startedUnixMs)
	first = n.leavingAt.IsZero()
	n.leavingAt = now
	return first
}

// noticeOf returns the notice of the lifetime that began at startedUnixMs, and creates it if
// needed.
func (r *Router) noticeOf(name string, startedUnixMs int64) *notice {
	n := r.notices[name]
	if n == nil || !sameLifetime(n.startedUnixMs, startedUnixMs) {
		n = &notice{startedUnixMs: startedUnixMs}
		r.notices[name] = n
	}
	return n
}

// currentNotice returns the notice of a target's present lifetime, nil if there is none.
func (r *Router) currentNotice(name string) *notice {
	n, t := r.notices[name], r.targets[name]
	if n == nil || t != nil && !sameLifetime(n.startedUnixMs, t.view.StartedUnixMs) {
		return nil
	}
	return n
}

// AcceptsRequests reports whether a target is reachable and neither leaving nor in backoff.
func (r *Router) AcceptsRequests(name string, now time.Time) bool {
	return !r.unreachable[name] && !r.Leaving(name, now) && r.Backoff(name, now) == 0
}

// SetUnreachable replaces the set of targets whose hosts do not respond; see package reachability.
func (r *Router) SetUnreachable(names []string) {
	r.unreachable = make(map[string]bool, len(names))
	for _, name := range names {
		r.unreachable[name] = true
	}
}

// Unreachable reports whether a target gets no requests because its host does not respond.
func (r *Router) Unreachable(name string) bool { return r.unreachable[name] }

// Leaving reports whether a target gets no requests because it leaves.
func (r *Router) Leaving(name string, now time.Time) bool {
	if n := r.currentNotice(name); n != nil && !n.leavingAt.IsZero() {
		return true
	}
	t := r.targets[name]
	return t != nil && t.leaving(now)
}

// Backoff returns the time until a target's backoff ends; 0 if none is in force.
func (r *Router) Backoff(name string, now time.Time) time.Duration {
	n := r.currentNotice(name)
	if n == nil {
		return 0
	}
	return max(0, n.backoffUntil.Sub(now))
}

// BackoffEnds returns the time until the first backoff of the targets that serve a request ends. It
// is 0 if one of them accepts requests, or all leave or are unreachable. Exclude is ignored: it
// holds for one call.
func (r *Router) BackoffEnds(q Request, now time.Time) time.Duration {
	set := r.sets[q.Name]
	if set == nil {
		return 0
	}
	first := time.Duration(0)
	for _, t := range set.all {
		if r.unreachable[t.name] || r.Leaving(t.name, now) || !q.allows(t.view) {
			continue
		}
		backoff := r.Backoff(t.name, now)
		if backoff == 0 {
			return 0
		}
		if first == 0 || backoff < first {
			first = backoff
		}
	}
	return first
}

// pruneNotices drops expired notices of targets that are not in the view.
func (r *Router) pruneNotices(now time.Time) {
	for name, n := range r.notices {
		if r.targets[name] == nil && !now.Before(n.backoffUntil) && now.Sub(n.leavingAt) > leavingMemory {
			delete(r.notices, name)
		}
	}
}
