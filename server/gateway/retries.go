package gateway

import (
	"time"

	"cowsliptiller/coord/request"
	"cowsliptiller/server/view"
)

// followRegistration notes when this process is settled, once the view has it.
func (g *Gateway) followRegistration(s *view.Snapshot) {
	now := g.config.Now()
	own := s.EntryHosts[g.config.Caller.GetHost()]
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settlesAt.IsZero() && own.GetIncarnation() == g.config.Caller.GetIncarnation() {
		g.settlesAt = now.Add(g.config.RetrySettle)
	}
}

// retryFleet returns what a view says of the hosts that retry. The caller holds mu.
func (g *Gateway) retryFleet(s *view.Snapshot, now time.Time) request.Fleet {
	if s == nil || g.settlesAt.IsZero() {
		return request.Fleet{}
	}
	return request.Fleet{Hosts: len(s.EntryHosts), Settled: !now.Before(g.settlesAt)}
}

// tryRetry takes one retry of a call from the fleet's budget for its service and reports whether
// one was left.
func (g *Gateway) tryRetry(c *call) bool {
	now := g.config.Now()
	s := g.config.Source.Current()
	g.mu.Lock()
	d := g.retryBudget(c.service.Name).TryRetry(g.retryFleet(s, now), now)
	g.mu.Unlock()
	g.config.Events.RetryDecided(c.RequestID, c.service.Name, d)
	g.config.Metrics.retryDecided(c.service.Name, d.Granted)
	return d.Granted
}

// recordRetryArrival records that a granted retry of a service has arrived or never will.
func (g *Gateway) recordRetryArrival(service string) {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordArrival(now)
}

// returnRetry returns a granted retry of a service that was not sent.
func (g *Gateway) returnRetry(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).ReturnRetry()
}

// recordRequest counts a request to a service; retries are limited to a share of these.
func (g *Gateway) recordRequest(service string) {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordRequest(now)
}

// retryBudget returns a service's retry budget. The caller holds mu.
func (g *Gateway) retryBudget(service string) *request.FleetBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = &request.FleetBudget{Ratio: g.config.Ratio, Reserve: g.config.Reserve, Window: g.config.Window}
		g.retryBudgets[service] = b
	}
	return b
}
