package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/request"
)

// Times of the load: the bad request crashes its target after crashDelay, the others take runTime
// to their first event, and a crashed target is back after restartDelay.
const (
	crashDelay   = 100 * time.Millisecond
	runTime      = 300 * time.Millisecond
	restartDelay = time.Second
)

var began = time.Unix(1000, 0)

// suspect is one request that goes to the only target with its model until it is served or refused.
type suspect struct {
	bad     bool
	strikes []request.SharedStrike
	sendAt  time.Time // zero: no send time
	started time.Time // zero: not at the target
	done    bool
	refused bool
}

// runSuspects plays 20 requests of which one is bad against a single target, and returns how many
// good ones were refused and how often the target crashed.
func runSuspects(paced bool) (refused, crashes int) {
	owner := ratelimit.NewOwner(began.Add(-time.Minute))
	requests := make([]suspect, 20)
	requests[13].bad = true
	target, upAt := "i-0", began
	for now := began; now.Sub(began) < time.Minute; now = now.Add(10 * time.Millisecond) {
		crashed := false
		for i := range requests {
			r := &requests[i]
			strikes := request.Strikes{Shared: request.CountShared(r.strikes), Expires: now.Add(time.Minute)}
			switch {
			case r.done || r.refused:
			case !r.started.IsZero():
				crashed = crashed || r.bad && now.Sub(r.started) >= crashDelay
				r.done = !r.bad && now.Sub(r.started) >= runTime
			case request.CheckStrikes(strikes, now) != nil:
				r.refused = true
			case now.Before(upAt) || now.Before(r.sendAt):
			case paced && request.MustPace(strikes, now) && r.sendAt.IsZero():
				got := owner.Reserve(ratelimit.Request{Target: target, MaxWait: time.Second, Suspect: true}, now)
				if got.Granted {
					r.sendAt = now.Add(got.Wait)
				}
			default:
				r.started, r.sendAt = now, time.Time{}
			}
		}
		if !crashed {
			continue
		}
		for i := range requests {
			r := &requests[i]
			if !r.started.IsZero() && !r.done {
				r.strikes = request.AddSharedStrike(r.strikes, request.SharedStrike{Crash: target, At: now}, r.started)
			}
			r.started, r.sendAt = time.Time{}, time.Time{}
		}
		crashes++
		target, upAt = fmt.Sprint("i-", crashes), now.Add(restartDelay)
	}
	for _, r := range requests {
		if r.refused && !r.bad {
			refused++
		}
	}
	return refused, crashes
}

// Guards against refusing all requests that wait for the one target with their model because
// one of them is bad.
func TestSuspectsAtOneTarget(t *testing.T) {
	refused, crashes := runSuspects(true)
	if refused > 0 || crashes != request.MaxSharedStrikes {
		t.Errorf("paced: %d good requests refused, %d crashes; want 0 and %d", refused, crashes, request.MaxSharedStrikes)
	}
	if refused, _ := runSuspects(false); refused != 19 {
		t.Errorf("not paced: %d good requests refused; the load does not show the failure", refused)
	}
}
