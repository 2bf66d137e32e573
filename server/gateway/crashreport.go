package gateway

import (
	"context"
	"sync"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
	"cowsliptiller/server/rpc"
)

// Timing and size of reports.
const (
	reportTimeout    = 2 * time.Second
	reportRetryDelay = 100 * time.Millisecond
	// reportTTL is how long a report that fails is repeated.
	reportTTL = 10 * time.Second
	// maxReported limits the observations of one report; those beyond are reported next.
	maxReported = 256
)

// crashReporter reports to control what this host observes of crashed targets, many observations
// in one command. It is safe for concurrent use.
type crashReporter struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex // guards everything below
	pending []observation
	failing bool // the last report failed
}

// observation is what this host saw of one request: a crash under it, or that a target ran it to
// its end; or that targets have written answers on parts with strikes.
type observation struct {
	request  *coordpb.RequestID   // nil: only cleared is set
	strike   request.SharedStrike // Crash is empty: it ran to its end
	began    time.Time            // of the run that crashed
	accused  []request.Part       // parts that the crash is held against
	cleared  []request.Part
	at       time.Time
	reported chan struct{} // closed when control has committed it, or it was dropped
}

func newCrashReporter(c Config) *crashReporter {
	return &crashReporter{config: c, wake: make(chan struct{}, 1)}
}

// report queues an observation. The channel is closed when it has been reported.
func (r *crashReporter) report(o observation) <-chan struct{} {
	o.reported = make(chan struct{})
	r.mu.Lock()
	r.pending = append(r.pending, o)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return o.reported
}

// run reports observations until ctx ends.
func (r *crashReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.reportNext(ctx) {
		}
	}
}

// reportNext reports the oldest observations. It reports whether there may be more.
func (r *crashReporter) reportNext(ctx context.Context) (more bool) {
	batch := r.takePending()
	if len(batch) == 0 || ctx.Err() != nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := r.config.Control.Strike(limited, &rpc.StrikeRequest{Caller: r.config.Caller, Crashes: toCommand(batch, r.config.Now())})
	r.logResult(len(batch), err)
	if err == nil {
		closeAll(batch)
		return true
	}
	r.putBack(batch)
	return sleep(ctx, reportRetryDelay)
}

// logResult logs the first failed report of a series.
func (r *crashReporter) logResult(observations int, err error) {
	r.mu.Lock()
	first := err != nil && !r.failing
	r.failing = err != nil
	r.mu.Unlock()
	if first {
		r.config.Log.Warn("crashes not reported", "requests", observations, "error", rpc.FromTwirp(err))
	}
}

func (r *crashReporter) takePending() []observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(maxReported, len(r.pending))
	batch := r.pending[:n:n]
	r.pending = r.pending[n:]
	return batch
}

// putBack queues observations again, without those that are too old.
func (r *crashReporter) putBack(batch []observation) {
	now := r.config.Now()
	var kept, dropped []observation
	for _, o := range batch {
		if now.Sub(o.at) < reportTTL {
			kept = append(kept, o)
		} else {
			dropped = append(dropped, o)
		}
	}
	r.mu.Lock()
	r.pending = append(kept, r.pending...)
	r.mu.Unlock()
	closeAll(dropped)
}

func closeAll(batch []observation) {
	for _, o := range batch {
		close(o.reported)
	}
}

// toCommand groups the observations of one report by crash.
func toCommand(batch []observation, now time.Time) *coordpb.RecordCrashes {
	m := &coordpb.RecordCrashes{}
	byID := map[string]*coordpb.Crash{}
	for _, o := range batch {
		m.ClearedParts = append(m.ClearedParts, partsToRPC(o.cleared)...)
		if o.request == nil {
			continue
		}
		if o.strike.Crash == "" {
			m.Completed = append(m.Completed, o.request)
			continue
		}
		crash := byID[o.strike.Crash]
		if crash == nil {
			crash = &coordpb.Crash{Id: o.strike.Crash}
			byID[crash.Id] = crash
			m.Crashes = append(m.Crashes, crash)
		}
		crash.Suspects = append(crash.Suspects, &coordpb.Suspect{
			Request: o.request, Progress: o.strike.Progress, AgeMs: uint32(now.Sub(o.began).Milliseconds()),
			Parts: partsToRPC(o.accused),
		})
	}
	return m
}

func partsToRPC(parts []request.Part) []uint64 {
	var out []uint64
	for _, p := range parts {
		out = append(out, uint64(p))
	}
	return out
}
