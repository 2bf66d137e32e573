package board

import (
	"context"
	"slices"
	"time"

	"cowsliptiller/coord/streams"
	"cowsliptiller/server/rpc"
)

// versionInterval is the interval at which the targets of the table are recorded. A target that the table shows between
// two records is recorded by what added it.
const versionInterval = 500 * time.Millisecond

// followVersions records the targets of the table until the context ends. It does not wait for the platform's list,
// which may not answer for seconds.
func (b *Board) followVersions(ctx context.Context) {
	ticker := time.NewTicker(versionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := b.lead(); err != nil {
			continue
		}
		b.mu.Lock()
		b.observeVersions(b.config.Now())
		b.mu.Unlock()
	}
}

// observeVersions records the targets of the table. The caller holds mu.
func (b *Board) observeVersions(now time.Time) {
	complete := !b.table.ListedAt().IsZero() && !b.filling(now)
	b.versions.ObserveRows(slices.Values(b.table.All()), streams.Table{Complete: complete, Term: b.term, AskedAt: now}, now)
}

// observeTarget records a target that an agent reports. The caller holds mu.
func (b *Board) observeTarget(instance string, now time.Time) {
	s := b.table.Get(instance)
	if s == nil {
		return
	}
	b.versions.Record(streams.TargetOf(s), s.SoftwareVersion, now)
	b.versions.ObserveTarget(s.Service, streams.TargetOf(s), now)
}

// ServiceVersions implements rpc.Board. The lease is checked first: no other leader has shown a target to a host before
// that.
func (b *Board) ServiceVersions(_ context.Context, r *rpc.ServiceVersionsRequest) (*rpc.ServiceVersionsResponse, error) {
	if _, err := b.lead(); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	now := b.config.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observeVersions(now)
	return &rpc.ServiceVersionsResponse{
		SoftwareVersions: b.versions.VersionsOf(r.Service, time.Duration(r.SpanMs)*time.Millisecond, now),
		Epoch:            b.term, KnownMs: uint32(min(b.versions.KnownFor(now), time.Hour).Milliseconds()),
	}, nil
}
