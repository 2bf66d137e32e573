package gateway

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// Timing of reports of crashes.
const (
	// reportWait is how long an attempt's failure waits until control has committed its strike,
	// so that the caller's retry meets the strike at any host.
	reportWait = 100 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
	// reportRetryDelay is the delay after a failed report.
	reportRetryDelay = 100 * time.Millisecond
	// reportTTL is how long a report that fails is repeated.
	reportTTL = 10 * time.Second
	// maxReported limits the requests of one report; those beyond are reported next.
	maxReported = 256
)

// quarantine knows which requests have crashed targets: those that this host saw, and those that
// control has committed. It reports what this host sees, many crashes in one command.
type quarantine struct {
	config Config

	seed maphash.Seed // of contentHash
	wake chan struct{}

	mu        sync.Mutex // guards everything below
	local     *request.LocalStrikes
	completed *request.Completed
	pending   []sighting
}

// sighting is what this host saw of one request: a crash, or that a target ran it to the end.
type sighting struct {
	id       *coordpb.RequestID
	strike   request.SharedStrike // Crash is empty: it ran to the end
	began    time.Time            // of the run
	at       time.Time
	reported chan struct{} // closed when control has committed it, or it was dropped
}

func newQuarantine(c Config) *quarantine {
	return &quarantine{
		config: c, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1),
		local: request.NewLocalStrikes(), completed: request.NewCompleted(),
	}
}

// contentHash hashes what call.fingerprint digests, for every call: it must be cheap.
func (q *quarantine) contentHash(c *call) uint64 {
	var h maphash.Hash
	h.SetSeed(q.seed)
	for _, part := range []string{c.record.Workspace, c.http.Host, c.http.RequestURI} {
		_, _ = h.WriteString(part) // never fails
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(c.body)
	return h.Sum64()
}

func requestID(c *call) *coordpb.RequestID {
	f := c.fingerprint()
	return &coordpb.RequestID{Workspace: c.record.Workspace, Fingerprint: f[:]}
}

// strikes returns the strikes against a call's request.
func (q *quarantine) strikes(c *call) request.Strikes {
	now := q.config.Now()
	var rows map[string]*coordpb.Strikes
	if s := q.config.Source.Current(); s != nil {
		rows = s.Strikes
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(rows) == 0 && q.local.Empty(now) {
		return request.Strikes{}
	}
	f := c.fingerprint()
	row := rows[view.StrikeID(c.record.Workspace, f[:])]
	s := request.Strikes{Count: len(row.GetAttempts()), Expires: time.UnixMilli(row.GetExpiresUnixMs())}
	return q.local.Add(f, state.SharedStrikes(row), s, now)
}

// dismiss clears the shared strikes against a request if a target has run the like to its end
// lately, and reports whether it did. Strikes of other hosts may be committed after that run.
func (q *quarantine) dismiss(c *call) bool {
	now := q.config.Now()
	hash := q.contentHash(c)
	q.mu.Lock()
	harmless := q.completed.Has(hash, now)
	if harmless {
		q.local.Clear(c.fingerprint())
	}
	q.mu.Unlock()
	if harmless {
		q.report(sighting{id: requestID(c), at: now})
	}
	return harmless
}

// check returns a fault.Quarantined error for a call whose request has crashed too many targets.
func (q *quarantine) check(c *call) error {
	s := q.strikes(c)
	err := request.CheckStrikes(s, q.config.Now())
	if err != nil && s.Count < request.MaxStrikes && q.dismiss(c) {
		return nil
	}
	return err
}

// recordCrash records that a target crashed under a call, and waits for a short time until all
// hosts can know.
func (q *quarantine) recordCrash(ctx context.Context, c *call, s request.SharedStrike, began time.Time) {
	hash := q.contentHash(c)
	q.mu.Lock()
	harmless := q.completed.Has(hash, s.At)
	if !harmless {
		q.local.Record(c.fingerprint(), s, began)
	}
	q.mu.Unlock()
	if harmless {
		return
	}
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-q.report(sighting{id: requestID(c), strike: s, began: began, at: s.At}):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordCompleted records that a target has run a call to its end, which disproves strikes.
func (q *quarantine) recordCompleted(c *call) {
	now := q.config.Now()
	hash := q.contentHash(c)
	q.mu.Lock()
	q.completed.Record(hash, now)
	q.mu.Unlock()
	if s := q.strikes(c); s.Shared == 0 {
		return
	}
	q.mu.Lock()
	q.local.Clear(c.fingerprint())
	q.mu.Unlock()
	q.report(sighting{id: requestID(c), at: now})
}

// report queues a sighting. The channel is closed when it has been reported.
func (q *quarantine) report(s sighting) <-chan struct{} {
	s.reported = make(chan struct{})
	q.mu.Lock()
	q.pending = append(q.pending, s)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return s.reported
}

// run reports sightings until ctx ends.
func (q *quarantine) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for q.reportNext(ctx) {
		}
	}
}

// reportNext reports the oldest sightings and reports whether there may be more.
func (q *quarantine) reportNext(ctx context.Context) (more bool) {
	batch := q.takePending()
	if len(batch) == 0 || ctx.Err() != nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := q.config.Control.Strike(limited, &rpc.StrikeRequest{Caller: q.config.Caller, Crashes: toCommand(batch, q.config.Now())})
	if err == nil {
		closeAll(batch)
		return true
	}
	q.config.Log.Warn("crashes not reported", "requests", len(batch), "error", rpc.FromTwirp(err))
	q.putBack(batch)
	return sleep(ctx, reportRetryDelay)
}

func (q *quarantine) takePending() []sighting {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(maxReported, len(q.pending))
	batch := q.pending[:n:n]
	q.pending = q.pending[n:]
	return batch
}

// putBack queues sightings again, without those that are too old.
func (q *quarantine) putBack(batch []sighting) {
	now := q.config.Now()
	var kept, dropped []sighting
	for _, s := range batch {
		if now.Sub(s.at) < reportTTL {
			kept = append(kept, s)
		} else {
			dropped = append(dropped, s)
		}
	}
	q.mu.Lock()
	q.pending = append(kept, q.pending...)
	q.mu.Unlock()
	closeAll(dropped)
}

func closeAll(batch []sighting) {
	for _, s := range batch {
		close(s.reported)
	}
}

// toCommand groups sightings by crash. Their order within the batch is kept for each request: a
// request that ran to its end after a crash comes with the next report.
func toCommand(batch []sighting, now time.Time) *coordpb.RecordCrashes {
	m := &coordpb.RecordCrashes{}
	byID := map[string]*coordpb.Crash{}
	for _, s := range batch {
		if s.strike.Crash == "" {
			m.Completed = append(m.Completed, s.id)
			continue
		}
		crash := byID[s.strike.Crash]
		if crash == nil {
			crash = &coordpb.Crash{Id: s.strike.Crash}
			byID[crash.Id] = crash
			m.Crashes = append(m.Crashes, crash)
		}
		crash.Suspects = append(crash.Suspects, &coordpb.Suspect{
			Request: s.id, Progress: s.strike.Progress, AgeMs: uint32(now.Sub(s.began).Milliseconds()),
		})
	}
	return m
}
