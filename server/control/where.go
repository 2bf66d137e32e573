package control

import (
	"context"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
)

// whereTimeout bounds the whole answer, so that an operator has it within 2 s also if the entry host does
// not respond.
const whereTimeout = 1500 * time.Millisecond

// Where implements operators.Service. The named entry host decides. Errors: fault.NotFound for an
// unknown host, fault.Unavailable for one that does not respond, and those of the host.
func (s *operatorsService) Where(ctx context.Context, p *operators.WherePayload) (*operators.WhereInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	host, err := s.role.entryHost(ctx, p.EntryHost)
	if err != nil {
		return nil, refusal(err)
	}
	resp, err := s.role.entries.At(host.Address).Where(ctx, whereRequest(p))
	if err != nil {
		err = s.role.whereError(host, rpc.FromTwirp(err))
		return nil, refusal(err)
	}
	return whereInfo(resp), nil
}

// entryHost returns the row of an entry host. State that this process lacks is waited for only if the
// host is not known, so that an answer is possible while control has no quorum.
func (c *Role) entryHost(ctx context.Context, name string) (*coordpb.Host, error) {
	host, other := c.findEntry(name)
	if host == nil {
		if err := c.barrier(ctx); err != nil {
			return nil, err
		}
		host, other = c.findEntry(name)
	}
	switch {
	case host != nil:
		return host, nil
	case other != "":
		return nil, fault.New(fault.NotFound, "host %q has the role %s, not %s", name, other, settings.RoleEntry)
	}
	return nil, fault.New(fault.NotFound, "no entry host %q is registered", name)
}

// findEntry returns the row of an entry host, or else another role of the host of that name.
func (c *Role) findEntry(name string) (host *coordpb.Host, otherRole string) {
	c.machine.Read(func(st *state.State) {
		for _, h := range st.Hosts() {
			switch {
			case h.Host != name:
			case h.Role == settings.RoleEntry:
				host = h
			default:
				otherRole = h.Role
			}
		}
	})
	return host, otherRole
}

// whereError returns the error for the operator. A refusal of the entry host is passed on as it is.
func (c *Role) whereError(host *coordpb.Host, err error) error {
	f := fault.From(err)
	switch f.Kind {
	case fault.InvalidRequest, fault.NotFound, fault.Stale:
		return err
	}
	c.logger.Warn("entry host did not explain a decision", "entry", host.Host, "address", host.Address, "error", err)
	return fault.New(fault.Unavailable, "entry host %q at %s did not answer (limit %v): %s", host.Host, host.Address, whereTimeout, f.Message)
}

func whereRequest(p *operators.WherePayload) *rpc.WhereRequest {
	r := &rpc.WhereRequest{
		Host: p.Host, Path: p.Path, Workspace: p.Workspace, Model: p.Model, Request: p.RequestID, Prefix: p.Prefix,
	}
	if p.PromptTokens != tokensNotStated || p.OutputTokens != tokensNotStated {
		r.PromptTokens, r.OutputTokens, r.TokensKnown = p.PromptTokens, p.OutputTokens, true
	}
	return r
}

// tokensNotStated is the default of both numbers of tokens. If only one is stated, the entry host
// refuses the other.
const tokensNotStated = -1

func whereInfo(r *rpc.WhereResponse) *operators.WhereInfo {
	out := &operators.WhereInfo{
		EntryHost: r.EntryHost, DeploymentVersion: r.DeploymentVersion, Revision: r.Revision, TableAgeMs: r.TableAgeMs,
		Route: r.Route, Service: r.Service, Model: r.Model, Rank: r.Rank, Contended: r.Contended,
		Outcome: r.Outcome, Target: r.Target, Reason: r.Reason, WaitMs: r.WaitMs, Kind: r.Kind, RetryAfterMs: r.RetryAfterMs,
		Notes: append([]string{}, r.Notes...), Candidates: []*operators.WhereCandidate{}, CandidatesOmitted: r.CandidatesOmitted,
	}
	for _, c := range r.Candidates {
		out.Candidates = append(out.Candidates, whereCandidate(c))
	}
	return out
}

func whereCandidate(c *rpc.WhereCandidate) *operators.WhereCandidate {
	return &operators.WhereCandidate{
		Instance: c.Instance, FailureDomain: c.FailureDomain, Verdict: c.Verdict, Reasons: append([]string{}, c.Reasons...),
		ModelState: c.ModelState, Running: c.Running, Queued: c.Queued, Slots: c.Slots, InFlight: c.InFlight, Load: c.Load,
		EstimatedWait: c.EstimatedWait, QueueWaitMs: c.QueueWaitMs, LoadForecastMs: c.LoadForecastMs, SlowdownRatio: c.SlowdownRatio,
		SpeedPercent: c.SpeedPercent, ReportAgeMs: c.ReportAgeMs, Reported: c.Reported, CircuitShare: c.CircuitShare,
		RateLimitPerS: c.RateLimitPerS, BackoffMs: c.BackoffMs,
	}
}
