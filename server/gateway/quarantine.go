package gateway

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/view"
)

// reportWait bounds the delay of a failed attempt until control has committed its strike. The caller
// may retry at another host, which must have the strike by then.
const reportWait = 100 * time.Millisecond

// quarantine holds the strikes against requests, those that this host has recorded and those that
// control has committed, and refuses requests with too many. While its lock is held, no other lock is taken.
type quarantine struct {
	config   Config
	reporter *crashReporter
	parts    *partGuard
	seed     maphash.Seed // of contentHash

	mu        sync.Mutex // guards everything below
	local     *request.LocalStrikes
	completed *request.Completed
}

func newQuarantine(c Config) *quarantine {
	reporter := newCrashReporter(c)
	return &quarantine{
		config: c, reporter: reporter, parts: newPartGuard(c, reporter), seed: maphash.MakeSeed(),
		local: request.NewLocalStrikes(), completed: request.NewCompleted(),
	}
}

func (q *quarantine) contentHash(c *call) uint64 {
	return request.ContentHash(q.seed, c.record.Workspace, c.http.Host, c.http.RequestURI, c.body())
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
	return q.local.Combine(f, state.SharedStrikes(row), s, now)
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
		q.reporter.report(observation{request: requestID(c), at: now})
	}
	return harmless
}

// check returns a fault.Quarantined error for a call whose request, or a part of its prompt, has
// crashed too many targets.
func (q *quarantine) check(c *call) error {
	if err := q.parts.check(c); err != nil {
		return err
	}
	s := q.strikes(c)
	err := request.CheckStrikes(s, q.config.Now())
	if err != nil && s.Count < request.MaxStrikes && q.dismiss(c) {
		return nil
	}
	return err
}

// recordCrash records that a target crashed under a call, and waits up to reportWait until that is
// committed.
func (q *quarantine) recordCrash(ctx context.Context, c *call, s request.SharedStrike, began time.Time, accused []request.Part) {
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
	case <-q.reporter.report(observation{request: requestID(c), strike: s, began: began, accused: accused, at: s.At}):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordCompleted records that a target has run a call to its end, which disproves strikes.
func (q *quarantine) recordCompleted(c *call) {
	q.parts.recordRun(c)
	hash := q.contentHash(c)
	q.mu.Lock()
	q.completed.Record(hash, q.config.Now())
	q.mu.Unlock()
	if q.strikes(c).Shared > 0 {
		q.dismiss(c)
	}
}
