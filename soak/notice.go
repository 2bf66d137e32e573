package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"cowsliptiller/platform"
)

// Terms of a target that requests a backoff, or announces that it leaves.
const (
	backoffGrace   = 500 * time.Millisecond // from the answer that requests it until it binds
	backoffAllowed = 2                      // requests that a host may send after that
	leavingLimit   = 3 * time.Second        // from the announcement until nothing may arrive
)

// backoff is a time in which a target wants no requests from an entry host.
type backoff struct {
	instance       string
	entry          int
	requested, end time.Time
}

// notice is what a target announces in its answers.
type notice struct {
	backoff time.Duration // requested with each refusal; 0: it accepts requests
	leaving bool
}

// sendNotices has random targets refuse requests and request a backoff, or announce that they leave
// and restart later, until the context ends. Some end while they still run what they had then.
func sendNotices(ctx context.Context, f *fleet, r *rand.Rand) {
	for sleepBetween(ctx, r, 100*time.Millisecond, time.Second); ctx.Err() == nil; sleepBetween(ctx, r, 500*time.Millisecond, 2*time.Second) {
		t := f.targets[r.IntN(len(f.targets))]
		if r.IntN(3) > 0 {
			t.setNotice(notice{backoff: time.Duration(1+r.IntN(3)) * time.Second})
			sleepBetween(ctx, r, 200*time.Millisecond, 2*time.Second)
			t.setNotice(notice{})
			continue
		}
		t.setNotice(notice{leaving: true})
		sleepBetween(ctx, r, 500*time.Millisecond, 6*time.Second)
		t.setNotice(notice{})
		t.end(200 * time.Millisecond)
	}
}

func (t *target) setNotice(n notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notice = n
}

// writeNotice adds the target's notice to its answer, and reports whether that refuses the request.
func (t *target) writeNotice(w http.ResponseWriter, id, request string) bool {
	t.mu.Lock()
	n := t.notice
	t.mu.Unlock()
	if n.leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	if n.backoff == 0 {
		return false
	}
	w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(n.backoff.Seconds(), 'g', -1, 64))
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	t.history.recordBackoff(id, request, n.backoff)
	return true
}

func (h *history) recordBackoff(instance, request string, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.sent[request]; s != nil {
		now := time.Now()
		h.backoffs = append(h.backoffs, backoff{instance, s.entry, now, now.Add(length)})
	}
}

// recordLeavingSeen records that an entry host passed on the announcement that a target leaves.
func (h *history) recordLeavingSeen(entry int, instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := fmt.Sprint(entry, " ", instance)
	if _, known := h.leavingSeen[key]; !known {
		h.leavingSeen[key] = time.Now()
	}
}

// checkNotices checks that targets in backoff and leaving targets got nothing.
func (f *fleet) checkNotices() {
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.backoffs {
		n := 0
		for _, a := range h.arrivals[x.instance] {
			s := h.sent[a.request]
			if s != nil && s.entry == x.entry && a.at.After(x.requested.Add(backoffGrace)) && a.at.Before(x.end) {
				n++
			}
		}
		if n > backoffAllowed && f.undisturbed(x.entry, x.instance, x.requested, x.end) {
			h.failures = append(h.failures, fmt.Sprintf("%s requested a backoff of %[3]v of entry host %[2]d and got %[4]d requests in it", x.instance, x.entry, x.end.Sub(x.requested), n))
		}
	}
	for instance, arrivals := range h.arrivals {
		for _, a := range arrivals {
			s := h.sent[a.request]
			if s == nil {
				continue
			}
			seen, known := h.leavingSeen[fmt.Sprint(s.entry, " ", instance)]
			if known && s.sentAt.After(seen.Add(leavingLimit)) && f.undisturbed(s.entry, instance, seen, a.at) {
				h.failures = append(h.failures, fmt.Sprintf("%s got %s from entry host %d, %v after that had passed on the announcement that it leaves", instance, s.id, s.entry, a.at.Sub(seen)))
			}
		}
	}
}

// undisturbed reports whether neither the process of an entry host nor the link to a target was
// disturbed in a span.
func (f *fleet) undisturbed(entry int, instance string, from, to time.Time) bool {
	last := f.hosts[entry].disturbedBefore(to)
	return last.Before(from) && !f.linkDisturbed(instance, from, to)
}

// linkDisturbed reports whether the link to a target had a fault in a span.
func (f *fleet) linkDisturbed(instance string, from, to time.Time) bool {
	for _, t := range f.targets {
		if t.owned(instance) {
			return t.proxy.disturbedIn(from, to)
		}
	}
	return false
}
