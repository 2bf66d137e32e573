package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cowsliptiller/platform"
)

// Terms of a rate limit that a target announces.
const (
	limitNotice = 3 * time.Second // from the first announcement until the limit binds
	limitWindow = 4 * time.Second // in which requests are counted
	// limitDelay is how long after an answer with the limit its entry host must keep it.
	limitDelay = 500 * time.Millisecond
	// settleTime is how long an entry host is excused after its process was disturbed.
	settleTime = 3 * time.Second
)

// limitAllowed is how many requests a target may get in a limitWindow.
func limitAllowed(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// announcement is a period in which a target announced a rate limit.
type announcement struct {
	instance  string
	perSecond float64
	from, to  time.Time
}

// arrival is a request that reached a target, whether it ran or not.
type arrival struct {
	request string
	at      time.Time
}

// limitsSeen are the times at which an entry host passed on answers with a rate limit, by the
// instance that announced it.
type limitsSeen map[string][]time.Time

// announceLimits has random targets announce rate limits until the context ends.
func announceLimits(ctx context.Context, f *fleet, r *rand.Rand) {
	for sleep(ctx, time.Duration(100+r.IntN(900))*time.Millisecond); ctx.Err() == nil; {
		t := f.targets[r.IntN(len(f.targets))]
		t.announceLimit(float64(1+r.IntN(4)) / 2)
		sleepBetween(ctx, r, 5*time.Second, 10*time.Second)
		t.endLimit()
	}
}

// announceLimit has the target announce a limit in its answers until endLimit or its restart.
func (t *target) announceLimit(perSecond float64) {
	t.endLimit()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = &announcement{instance: t.id, perSecond: perSecond, from: time.Now()}
}

func (t *target) endLimit() {
	t.mu.Lock()
	ended := t.limit
	t.limit = nil
	t.mu.Unlock()
	if ended != nil {
		ended.to = time.Now()
		t.history.recordLimit(*ended)
	}
}

// setLimitHeader announces the limit in an answer, if there is one.
func (t *target) setLimitHeader(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit != nil {
		h.Set(platform.HeaderRateLimit, strconv.FormatFloat(t.limit.perSecond, 'g', -1, 64))
	}
}

func (h *history) recordLimit(a announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, a)
}

func (h *history) recordArrival(instance, request string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals[instance] = append(h.arrivals[instance], arrival{request, time.Now()})
}

// recordLimitSeen records that an entry host passed on an answer with a rate limit.
func (h *history) recordLimitSeen(entry int, instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limitsSeen[entry] == nil {
		h.limitsSeen[entry] = limitsSeen{}
	}
	h.limitsSeen[entry][instance] = append(h.limitsSeen[entry][instance], time.Now())
}

// checkLimits checks that hosts kept the limits that targets announced to them.
func (f *fleet) checkLimits() {
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.limits {
		var counted []time.Time
		for _, at := range h.arrivals[a.instance] {
			if f.bound(a, at) {
				counted = append(counted, at.at)
			}
		}
		slices.SortFunc(counted, time.Time.Compare)
		for i, first := range counted {
			end := i
			for end < len(counted) && counted[end].Sub(first) < limitWindow {
				end++
			}
			if n := end - i; n > limitAllowed(a.perSecond) {
				h.failures = append(h.failures, fmt.Sprintf("%s announced a limit of %v a second and got %d requests within %v from %v after that, %d are allowed",
					a.instance, a.perSecond, n, limitWindow, first.Sub(a.from), limitAllowed(a.perSecond)))
				break
			}
		}
	}
}

// bound reports whether the host that sent a request had to keep the limit: it has passed on an
// answer with it, and its process was not disturbed since or shortly before.
func (f *fleet) bound(a announcement, at arrival) bool {
	s := f.history.sent[at.request]
	if s == nil || at.at.Before(a.from.Add(limitNotice)) || at.at.After(a.to) {
		return false
	}
	disturbed := f.hosts[s.entry].disturbedBefore(at.at)
	if at.at.Sub(disturbed) < settleTime {
		return false
	}
	return slices.ContainsFunc(f.history.limitsSeen[s.entry][a.instance], func(seen time.Time) bool {
		return seen.After(a.from) && seen.After(disturbed) && seen.Before(at.at.Add(-limitDelay))
	})
}

// disturbedBefore returns when the host's process was last started or signaled before a time.
func (h *host) disturbedBefore(at time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := time.Time{}
	for _, d := range h.disturbed {
		if d.Before(at) {
			last = d
		}
	}
	return last
}
