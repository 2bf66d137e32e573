package state

import (
	"bytes"
	"slices"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// claims is the aggregate of claims for non-repeatable calls. A claim reserves the
// only execution of (workspace, idempotency key) in the log before the request is
// sent to a target.
//
// Without claims, two entry hosts that receive the same call (a retry through the
// load balancer, a lost response) would both send it to a target, and it would be
// executed twice, for example an order placed twice. The log orders the two claims
// and only the first is granted. The claim of an entry host that crashes stays
// open, and retries are answered with an unknown outcome until it expires, since
// the call may have run.
type claims struct {
	rows             map[string]*coordpb.Claim
	countByWorkspace map[string]int
	bytes            int // total size of the recorded response bodies
}

func newClaims() claims {
	return claims{rows: map[string]*coordpb.Claim{}, countByWorkspace: map[string]int{}}
}

// claimID returns the table id of a claim. Ids cannot collide, since workspace names
// contain no '/'.
func claimID(workspace, key string) string {
	return workspace + "/" + key
}

// open claims the execution for an attempt and returns the current claim. The
// attempt may send the request to a target only if that claim is open and names
// this attempt.
func (c *claims) open(m *coordpb.OpenClaim, at commandContext) (*coordpb.Claim, error) {
	if err := checkClaim(m); err != nil {
		return nil, err
	}
	id := claimID(m.Workspace, m.IdempotencyKey)
	old, ok := c.rows[id]
	if ok && old.ExpiresUnixMs > at.now {
		current, available, err := checkExisting(old, m)
		if !available {
			return current, err
		}
	}
	if !ok && len(c.rows) >= MaxClaims {
		return nil, fault.New(fault.Overloaded, "%d claims are held, no more are allowed", MaxClaims)
	}
	if !ok && c.countByWorkspace[m.Workspace] >= MaxClaimsPerWorkspace {
		return nil, fault.New(fault.Overloaded, "workspace %q holds %d claims, no more are allowed", m.Workspace, MaxClaimsPerWorkspace)
	}
	row := &coordpb.Claim{
		Workspace: m.Workspace, IdempotencyKey: m.IdempotencyKey, RequestDigest: m.RequestDigest,
		Attempt: m.Attempt, State: coordpb.ClaimState_CLAIM_STATE_OPEN, ExpiresUnixMs: claimExpiry(m.ExpiresUnixMs, at.now),
	}
	if ok && old.ExpiresUnixMs > at.now {
		row.Released = old.Released
	}
	c.replace(id, row)
	return row, nil
}

func checkClaim(m *coordpb.OpenClaim) error {
	if err := checkName("workspace", m.Workspace); err != nil {
		return err
	}
	if err := checkName("idempotency key", m.IdempotencyKey); err != nil {
		return err
	}
	return checkName("attempt", m.Attempt)
}

// checkExisting evaluates a request against an unexpired claim on the same key.
// available reports whether the key may be claimed again.
func checkExisting(old *coordpb.Claim, m *coordpb.OpenClaim) (current *coordpb.Claim, available bool, err error) {
	released := old.State == coordpb.ClaimState_CLAIM_STATE_NOT_RUN
	if !released && !bytes.Equal(old.RequestDigest, m.RequestDigest) {
		return nil, false, fault.New(fault.KeyReused, "the idempotency key came with another request")
	}
	// A delayed duplicate of a released attempt's claim must not open the claim again:
	// it would never be settled, and the key would be blocked until it expires. This
	// also applies after another attempt has claimed and released the key.
	if slices.Contains(old.Released, m.Attempt) {
		return old, false, fault.New(fault.Conflict, "attempt %q was settled as not run", m.Attempt)
	}
	if released {
		return nil, true, nil
	}
	if old.State == coordpb.ClaimState_CLAIM_STATE_DONE || old.Attempt == m.Attempt {
		return old, false, nil
	}
	return old, false, fault.New(fault.AlreadyClaimed, "the call is claimed and its outcome is not known")
}

// claimExpiry limits a requested expiry, in Unix milliseconds, to the range from
// ClaimRetention to MaxClaimRetention after now.
func claimExpiry(requested, now int64) int64 {
	return min(max(requested, now+ClaimRetention.Milliseconds()), now+MaxClaimRetention.Milliseconds())
}

// settle records the outcome of the attempt that holds a claim.
func (c *claims) settle(m *coordpb.SettleClaim, at commandContext) (*coordpb.Claim, error) {
	if m.State != coordpb.ClaimState_CLAIM_STATE_DONE && m.State != coordpb.ClaimState_CLAIM_STATE_NOT_RUN {
		return nil, fault.New(fault.InvalidRequest, "a claim is settled as done or not run")
	}
	id := claimID(m.Workspace, m.IdempotencyKey)
	old, ok := c.rows[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "no such claim")
	}
	// A settlement whose response was lost is sent again, and meanwhile another attempt
	// may have claimed the released key. Rejecting the duplicate as fenced would make
	// the caller believe that nothing was recorded, so it returns success again.
	if m.State == coordpb.ClaimState_CLAIM_STATE_NOT_RUN && slices.Contains(old.Released, m.Attempt) {
		return old, nil
	}
	if old.Attempt != m.Attempt {
		return nil, fault.New(fault.Fenced, "the claim is held by another attempt")
	}
	if old.State == m.State {
		return old, nil
	}
	if old.State != coordpb.ClaimState_CLAIM_STATE_OPEN {
		return old, fault.New(fault.Conflict, "the claim is already settled")
	}
	row := cloneRow(old)
	row.State = m.State
	if m.State == coordpb.ClaimState_CLAIM_STATE_DONE {
		row.Outcome = c.boundOutcome(m.Outcome)
	} else {
		row.ExpiresUnixMs = at.now + NotRunRetention.Milliseconds()
		row.Released = appendReleased(old.Released, m.Attempt)
	}
	c.replace(id, row)
	return row, nil
}

// appendReleased adds an attempt to those that released a key, and keeps the newest
// MaxReleasedAttempts.
func appendReleased(before []string, attempt string) []string {
	after := append(slices.Clone(before), attempt)
	return after[max(0, len(after)-MaxReleasedAttempts):]
}

// boundOutcome returns the outcome to store. The body is dropped if it exceeds
// MaxOutcomeBytes or if all bodies together would exceed MaxTotalOutcomeBytes;
// body_kept records which.
func (c *claims) boundOutcome(o *coordpb.CallOutcome) *coordpb.CallOutcome {
	if o == nil {
		return nil
	}
	if len(o.Body) <= MaxOutcomeBytes && c.bytes+len(o.Body) <= MaxTotalOutcomeBytes {
		return &coordpb.CallOutcome{Status: o.Status, ContentType: o.ContentType, Body: o.Body, BodyKept: true}
	}
	return &coordpb.CallOutcome{Status: o.Status, ContentType: o.ContentType}
}

func (c *claims) replace(id string, row *coordpb.Claim) {
	c.remove(id)
	c.bytes += len(row.GetOutcome().GetBody())
	c.countByWorkspace[row.Workspace]++
	c.rows[id] = row
}

func (c *claims) remove(id string) {
	old, ok := c.rows[id]
	if !ok {
		return
	}
	c.bytes -= len(old.GetOutcome().GetBody())
	c.countByWorkspace[old.Workspace]--
	if c.countByWorkspace[old.Workspace] == 0 {
		delete(c.countByWorkspace, old.Workspace)
	}
	delete(c.rows, id)
}

func (c *claims) expire(now int64) {
	for id, row := range c.rows { // order-independent: each row is checked on its own
		if row.ExpiresUnixMs <= now {
			c.remove(id)
		}
	}
}
