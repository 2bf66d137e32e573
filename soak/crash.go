package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Terms of a request that ends each target that runs it.
const (
	// crashNotice is how long after the third target has ended hosts may still send the request.
	crashNotice = 3 * time.Second
	// crashesKnown is how many targets end before the request must be refused.
	crashesKnown = 3
	// crashRetries is how many retries may reach targets later than crashNotice.
	crashRetries = 3
	badPrefix    = "bad request "
)

// crash is the end of a target's process under a bad request.
type crash struct {
	content string
	at      time.Time
}

// contentKey identifies a request by what its caller repeats.
func contentKey(workspace, path, body string) string { return workspace + " " + path + " " + body }

// end ends the target's process: its address refuses connections. It starts again after a time.
func (t *target) end(after time.Duration) {
	t.mu.Lock()
	ended := t.down
	t.down = true
	t.mu.Unlock()
	if ended {
		return
	}
	t.history.recordEnd()
	t.proxy.stop()
	time.AfterFunc(after, func() {
		t.restart(false)
		if err := t.proxy.start(); err != nil {
			t.history.addFailure("target %s cannot listen again: %v", t.address, err)
		}
	})
}

// runBad ends the target if the body is that of a bad request, and reports whether it did.
func (t *target) runBad(body string) bool {
	if !strings.HasPrefix(body, badPrefix) {
		return false
	}
	t.history.recordCrash(body)
	t.end(time.Second)
	return true
}

// recordEnd records that a target ended, for the content of each request that had no answer yet.
// Neither a host nor this check can distinguish which of these were on their way to the target.
func (h *history) recordEnd() {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := map[string]bool{}
	for _, s := range h.sent {
		if s.endedAt.IsZero() {
			open[contentKey(s.workspace, s.path, s.content)] = true
		}
	}
	for key := range open {
		h.ends[key] = append(h.ends[key], time.Now())
	}
}

func (h *history) recordCrash(content string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, crash{content, time.Now()})
}

// crashTargets sends requests that end their targets, ends others, and has targets request backoffs
// or leave, in the background until the context ends.
func crashTargets(ctx context.Context, f *fleet, c *clients, seed uint64) {
	const badRequests = 2
	own := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 100+n)) }
	for i := range badRequests {
		c.wg.Go(func() { c.sendBad(ctx, i, own(uint64(i))) })
	}
	f.activeFaults.Go(func() { endTargets(ctx, f, own(badRequests)) })
	f.activeFaults.Go(func() { sendNotices(ctx, f, own(badRequests+1)) })
}

// sendBad has a caller of one workspace retry one bad request until the context ends.
func (c *clients) sendBad(ctx context.Context, n int, r *rand.Rand) {
	kind := kinds[r.IntN(len(kinds))]
	model := c.newRequest(kind, r).model
	content := fmt.Sprintf("%s%d", badPrefix, n)
	for ctx.Err() == nil {
		s := c.newRequest(kind, r)
		s.content, s.model, s.workspace, s.key = content, model, "w1", "key-1"
		c.send(ctx, s)
		sleepBetween(ctx, r, time.Millisecond, 300*time.Millisecond)
	}
}

// endTargets ends processes of targets, several at once, until the context ends.
func endTargets(ctx context.Context, f *fleet, r *rand.Rand) {
	for sleepBetween(ctx, r, 500*time.Millisecond, 3*time.Second); ctx.Err() == nil; sleepBetween(ctx, r, 500*time.Millisecond, 3*time.Second) {
		for range 1 + r.IntN(2) {
			f.targets[r.IntN(len(f.targets))].end(time.Second)
		}
	}
}

// checkCrashes checks that bad requests were refused, and others were not refused as bad.
func (f *fleet) checkCrashes() {
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := map[string][]time.Time{}
	for _, c := range h.crashes {
		ended[c.content] = append(ended[c.content], c.at)
	}
	late := map[string]int{}
	for _, arrivals := range h.arrivals {
		for _, a := range arrivals {
			s := h.sent[a.request]
			if s != nil && len(ended[s.content]) >= crashesKnown && f.knowsCrashes(s.entry, ended[s.content][crashesKnown-1], a.at) {
				late[s.content]++
			}
		}
	}
	for content, n := range late {
		if n > crashRetries {
			h.failures = append(h.failures, fmt.Sprintf("%q was sent to targets %d times later than %v after it had ended %d, %d in all", content, n, crashNotice, crashesKnown, len(ended[content])))
		}
	}
	f.checkWrongfulRefusals()
}

// clearDelay is how long after a complete answer its content may still be refused.
const clearDelay = 500 * time.Millisecond

// checkWrongfulRefusals checks that no request was refused as one that ends its targets while
// fewer than crashesKnown had ended under its content, without a complete answer since. The
// caller holds the history's lock.
func (f *fleet) checkWrongfulRefusals() {
	h := f.history
	answered := map[string][]time.Time{}
	for _, s := range h.sent {
		if s.status == http.StatusOK && s.complete {
			key := contentKey(s.workspace, s.path, s.content)
			answered[key] = append(answered[key], s.endedAt)
		}
	}
	for _, s := range h.sent {
		if !strings.Contains(s.body, `"quarantined"`) {
			continue
		}
		key, since := contentKey(s.workspace, s.path, s.content), time.Time{}
		for _, at := range answered[key] {
			if at.Before(s.sentAt.Add(-clearDelay)) && at.After(since) {
				since = at
			}
		}
		n := 0
		for _, at := range h.ends[key] {
			if at.After(since) && at.Before(s.endedAt) {
				n++
			}
		}
		if n < crashesKnown {
			h.failures = append(h.failures, fmt.Sprintf("%s %s was refused as one that ends its targets: %d had ended under its content, the last complete answer was %v before", s.path, s.id, n, s.sentAt.Sub(since)))
		}
	}
}

// knowsCrashes reports whether the third crash must have reached an entry host when it sends:
// neither the host nor a control process was disturbed before.
func (f *fleet) knowsCrashes(entry int, third, at time.Time) bool {
	if at.Before(third.Add(crashNotice)) {
		return false
	}
	hosts := append(slices.Clone(f.hosts[:entriesWithDisk]), f.hosts[entry])
	return !slices.ContainsFunc(hosts, func(h *host) bool { return at.Sub(h.disturbedBefore(at)) < settleTime+crashNotice })
}
