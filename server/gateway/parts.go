package gateway

import (
	"strings"
	"sync"
	"time"

	"cowsliptiller/coord/request"
	"cowsliptiller/platform"
	"cowsliptiller/server/view"
)

// Bounds of what is logged of a request's parts.
const (
	loggedParts     = 4
	loggedPartBytes = 8
)

// partGuard refuses calls with a part of the prompt that crashes targets. It remembers the parts on which
// targets have written answers. While its lock is held, no other lock is taken.
type partGuard struct {
	config   Config
	reporter *crashReporter

	mu        sync.Mutex // guards everything below
	completed *request.CompletedParts
}

func newPartGuard(c Config, r *crashReporter) *partGuard {
	return &partGuard{config: c, reporter: r, completed: request.NewCompletedParts()}
}

// sharedParts returns the parts of the call's prompt that other requests may share: all but the last.
func (c *call) sharedParts() []platform.PromptPart {
	return c.Prefix[:max(0, len(c.Prefix)-1)]
}

// parts identifies the parts of the call's prompt that other requests may share.
func (c *call) parts() []request.Part {
	c.hashParts.Do(func() {
		c.partHashes = request.PartsOf(c.Prefix, func(p platform.PromptPart) string { return p.ID })
	})
	return c.partHashes
}

// rows returns the parts with strikes.
func (p *partGuard) rows() request.PartRows {
	if s := p.config.Source.Current(); s != nil {
		return s.Parts
	}
	return nil
}

// check returns a fault.Quarantined error for a call with a part that has crashed too many targets.
func (p *partGuard) check(c *call) error {
	rows := p.rows()
	if len(rows) == 0 {
		return nil
	}
	now := p.config.Now()
	err := request.CheckParts(rows, c.parts(), now)
	if err != nil {
		c.record.Parts = logParts(refusedParts(rows, c.sharedParts(), now))
	}
	return err
}

// refusedParts returns those of a request's parts that are refused.
func refusedParts(rows request.PartRows, parts []platform.PromptPart, now time.Time) (out []platform.PromptPart) {
	for _, part := range parts {
		if now.Before(rows[request.PartOf(part.ID)].Until) {
			out = append(out, part)
		}
	}
	return out
}

// accused returns the parts of a call that a crash is held against: none if the attempt had brought
// events.
func (p *partGuard) accused(c *call, events uint64, now time.Time) []request.Part {
	if events > 0 || len(c.parts()) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.completed.Accused(c.parts(), now)
}

// recordRun records that a target has written an answer on a call's parts.
func (p *partGuard) recordRun(c *call) {
	parts := c.parts()
	if len(parts) == 0 {
		return
	}
	now := p.config.Now()
	rows := p.rows()
	p.mu.Lock()
	p.completed.Record(parts, now)
	sound := p.completed.ClearedOf(parts, rows, now)
	p.mu.Unlock()
	p.reportSound(sound, now)
}

// follow applies a new view.
func (p *partGuard) follow(s *view.Snapshot) { p.clear(s.Parts) }

// clear reports those parts with strikes as sound on which a target has written an answer lately.
// Strikes of other hosts may be committed after that run.
func (p *partGuard) clear(rows request.PartRows) {
	if len(rows) == 0 {
		return
	}
	now := p.config.Now()
	p.mu.Lock()
	sound := p.completed.Cleared(rows, now)
	p.mu.Unlock()
	p.reportSound(sound, now)
}

func (p *partGuard) reportSound(parts []request.Part, now time.Time) {
	if len(parts) > 0 {
		p.reporter.report(observation{cleared: parts, at: now})
	}
}

// recordEvents handles the events that an attempt has brought.
func (t *retryState) recordEvents(a *attempt) {
	if a.events == request.PartClearingEvents {
		t.gateway.quarantine.parts.recordRun(t.call)
	}
}

// logParts returns what is logged of parts.
func logParts(parts []platform.PromptPart) string {
	var ids []string
	for _, p := range parts[:min(len(parts), loggedParts)] {
		ids = append(ids, p.ID[:min(len(p.ID), loggedPartBytes)])
	}
	return strings.Join(ids, ",")
}
