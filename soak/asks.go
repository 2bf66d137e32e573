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

// Terms of a target that asks for rest, or says that it leaves.
const (
	restNotice   = 500 * time.Millisecond // from the answer that asks until the rest binds
	restAllowed  = 2                      // requests that a host may send in the rest of it
	leavingLimit = 3 * time.Second        // from the answer that says so until nothing may arrive
)

// rest is a time in which a target wants no requests from an entry host.
type rest struct {
	instance   string
	entry      int
	asked, end time.Time
}

// asks is what a target asks of the hosts that send to it.
type asks struct {
	rest    time.Duration // for which it turns requests away; 0: it takes them
	leaving bool
}

// askForRest has random targets turn requests away and ask for rest, or say that they leave and
// restart later, until the context ends.
func askForRest(ctx context.Context, f *fleet, r *rand.Rand) {
	for sleepBetween(ctx, r, 100*time.Millisecond, time.Second); ctx.Err() == nil; sleepBetween(ctx, r, 500*time.Millisecond, 2*time.Second) {
		t := f.targets[r.IntN(len(f.targets))]
		if r.IntN(3) > 0 {
			t.setAsks(asks{rest: time.Duration(1+r.IntN(3)) * time.Second})
			sleepBetween(ctx, r, 200*time.Millisecond, 2*time.Second)
			t.setAsks(asks{})
			continue
		}
		t.setAsks(asks{leaving: true})
		sleepBetween(ctx, r, 4*time.Second, 6*time.Second)
		t.setAsks(asks{})
		t.end(200 * time.Millisecond)
	}
}

func (t *target) setAsks(a asks) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asks = a
}

// writeAsks adds what the target asks for to its answer. It reports whether the answer is complete:
// the request is turned away.
func (t *target) writeAsks(w http.ResponseWriter, id, request string) bool {
	t.mu.Lock()
	a := t.asks
	t.mu.Unlock()
	if a.leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	if a.rest == 0 {
		return false
	}
	w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(a.rest.Seconds(), 'g', -1, 64))
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	t.history.recordRest(id, request, a.rest)
	return true
}

func (h *history) recordRest(instance, request string, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.sent[request]; s != nil {
		now := time.Now()
		h.rests = append(h.rests, rest{instance, s.entry, now, now.Add(length)})
	}
}

// recordLeavingSeen records that an entry host passed on an answer that says that the target leaves.
func (h *history) recordLeavingSeen(entry int, instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := fmt.Sprint(entry, " ", instance)
	if _, known := h.leavingSeen[key]; !known {
		h.leavingSeen[key] = time.Now()
	}
}

// checkAsks checks that resting and leaving targets got nothing.
func (f *fleet) checkAsks() {
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.rests {
		n := 0
		for _, a := range h.arrivals[x.instance] {
			s := h.sent[a.request]
			if s != nil && s.entry == x.entry && a.at.After(x.asked.Add(restNotice)) && a.at.Before(x.end) {
				n++
			}
		}
		if n > restAllowed && f.undisturbed(x.entry, x.instance, x.asked, x.end) {
			h.failures = append(h.failures, fmt.Sprintf("%s asked entry host %d for %v of rest and got %d requests in it", x.instance, x.entry, x.end.Sub(x.asked), n))
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
				h.failures = append(h.failures, fmt.Sprintf("%s got %s from entry host %d, %v after that had passed on that it leaves", instance, s.id, s.entry, a.at.Sub(seen)))
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
