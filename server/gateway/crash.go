package gateway

import (
	"cmp"
	"context"
	"encoding/hex"
	"strconv"

	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/request"
	"cowsliptiller/server/events"
)

// loggedFingerprintBytes is how much of a fingerprint is logged: enough to find the attempts of
// one request among all of a day.
const loggedFingerprintBytes = 8

// fingerprint identifies the request by its content, within its workspace. A caller's retry has
// the same one. It must not be called before the body has been read.
func (c *call) fingerprint() request.Fingerprint {
	if c.digest == (request.Fingerprint{}) {
		c.digest = request.FingerprintOf(c.record.Workspace, c.http.Host, c.http.RequestURI, c.body())
	}
	return c.digest
}

// logFingerprint returns the part of a fingerprint that is logged.
func logFingerprint(f request.Fingerprint) string {
	return hex.EncodeToString(f[:loggedFingerprintBytes])
}

// progress is the number of events of the answer that the caller has received, including those
// before a stream was resumed.
func (t *retryState) progress() uint64 {
	lastEvent, events := t.relay.position()
	if n, err := strconv.ParseUint(cmp.Or(lastEvent, t.call.LastEvent), 10, 64); err == nil {
		return n
	}
	return events
}

// recordBroken handles an attempt whose connection the target's side ended. If the target's process
// has ended, that is a strike against the request. It completes the event.
func (t *retryState) recordBroken(ctx context.Context, a *attempt, event *events.FailedAttempt) {
	g, c, p := t.gateway, t.call, a.target
	ended := g.pool.Probe(context.WithoutCancel(ctx), p.Address) == framing.Ended
	if !ended {
		return
	}
	event.TargetEnded, event.Fingerprint, event.Parts = true, logFingerprint(c.fingerprint()), logParts(c.sharedParts())
	g.config.Metrics.targetEnded(c.service.Name, len(c.sharedParts()) > 0, a.events > 0)
	if !request.IsCrash(ended, g.targets.leaving(p.Instance)) {
		return
	}
	strike := request.SharedStrike{Crash: request.CrashID(p.Instance, p.StartedUnixMs), Progress: t.progress(), At: g.config.Now()}
	accused := g.quarantine.parts.accused(c, a.events, strike.At)
	g.quarantine.recordCrash(ctx, c, strike, a.began, accused)
}

// probeSender probes a target's process after the target has closed the connection of an answer.
func (t *retryState) probeSender(ctx context.Context, p destination) framing.Sender {
	probe := dueProbe{instance: p.Instance, address: p.Address, hasReport: t.gateway.targets.runsModels(p.Service)}
	s := framing.Sender{
		Liveness: t.gateway.pool.ProbeAfterClose(context.WithoutCancel(ctx), probe.address, probe.request()),
		Leaving:  t.gateway.targets.endExpected(p.Instance),
	}
	t.call.record.Sender, t.call.record.TargetLeaving = s.Liveness, s.Leaving
	return s
}

// endExpected reports whether a target has announced its shutdown or was removed from the table.
func (t *targets) endExpected(instance string) bool {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.router.Leaving(instance, now) || t.table.Get(instance) == nil
}

// leaving reports whether a target's end was announced.
func (t *targets) leaving(instance string) bool {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.router.Leaving(instance, now)
}
