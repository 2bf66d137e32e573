package entry

import (
	"context"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

// A call that may not be repeated runs at most once, whichever entry hosts its
// caller sends it to. Before anything is handed over, this host claims the run
// for (workspace, idempotency key) in the replicated log; only one claim is
// granted. After the hand-over nobody sends the call again: its outcome is
// recorded, or stays unknown, and a caller who repeats gets just that.

const (
	// claimTry bounds one question to control, in which a control process that
	// fell silent is passed over; claimPause is the wait before the next.
	claimTry   = 4 * time.Second
	claimPause = 50 * time.Millisecond
	// settleBefore is how long the answer waits for its outcome to be recorded.
	// A caller whose answer got lost then finds the outcome when he repeats.
	settleBefore = 2 * time.Second
	// settleAfter is how long recording goes on after the answer.
	settleAfter = time.Minute
	// claimLife is how long a claim is kept: a day of repeats.
	claimLife = 24 * time.Hour
)

// once gets a call answered that may not be repeated.
func (e *Entry) once(ctx context.Context, c *call) (*answer, error) {
	if c.key == "" {
		// The caller named no key, so his repeats are other calls to us. The
		// claim still keeps our own processes from running this one twice.
		c.key = c.id
	}
	standing, err := e.claim(ctx, c)
	if err != nil {
		e.metrics.Claimed(false, err)
		return nil, err
	}
	if standing.State == coordpb.ClaimState_CLAIM_STATE_DONE {
		a, err := replay(standing)
		e.metrics.Claimed(true, err)
		return a, err
	}
	e.metrics.Claimed(false, nil)
	a, err := e.admitted(ctx, c)
	if err != nil {
		if fault.From(err).Ran == fault.RanNo {
			e.settle(ctx, c, coordpb.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		}
		return nil, err
	}
	e.settleAnswer(ctx, c, a)
	return a, nil
}

// claim asks control for the one run until it answers. It returns the claim that
// is granted or done. Everything else is an error, and this request is not run:
// fault.AlreadyClaimed tells of another whose run is not known.
func (e *Entry) claim(ctx context.Context, c *call) (*coordpb.Claim, error) {
	begun := e.cfg.Now()
	for questions := 1; ; questions++ {
		response, err := e.askClaim(ctx, c)
		e.metrics.ClaimAsked(err)
		if err == nil {
			return judge(response)
		}
		if !unanswered(err) {
			return nil, fault.WithRan(err, fault.RanNo, fault.From(err).Repeatable)
		}
		if !wait(ctx, claimPause) {
			e.events.ClaimUnanswered(c.id, questions, fault.From(err).Kind, e.cfg.Now().Sub(begun))
			// The claim may have been committed all the same. Nothing ran under
			// it, so it is given back for the caller's repeat.
			e.settle(context.WithoutCancel(ctx), c, coordpb.ClaimState_CLAIM_STATE_NOT_RUN, nil)
			return nil, fault.New(fault.NoQuorum, "control did not answer the claim in time")
		}
	}
}

func (e *Entry) askClaim(ctx context.Context, c *call) (*rpc.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTry)
	defer cancel()
	response, err := e.cfg.Control.Claim(ctx, &rpc.ClaimRequest{Caller: e.cfg.Caller, Claim: &coordpb.OpenClaim{
		Workspace:      c.workspace.Name,
		IdempotencyKey: c.key,
		RequestDigest:  c.fingerprint,
		Attempt:        c.id,
		ExpiresUnixMs:  time.Now().Add(claimLife).UnixMilli(),
	}})
	return response, rpc.FromTwirp(err)
}

// judge reads control's answer to a claim.
func judge(response *rpc.ClaimResponse) (*coordpb.Claim, error) {
	standing := response.Claim
	if response.Granted || standing.GetState() == coordpb.ClaimState_CLAIM_STATE_DONE {
		return standing, nil
	}
	return nil, fault.New(fault.AlreadyClaimed, "a call with this idempotency key was sent before; whether it ran is not known")
}

// replay answers a repeat with the recorded outcome.
func replay(standing *coordpb.Claim) (*answer, error) {
	outcome := standing.Outcome
	if outcome == nil || !outcome.BodyKept {
		err := fault.New(fault.AlreadyClaimed, "the call ran; its answer was not kept")
		return nil, fault.WithRan(err, fault.RanYes, false)
	}
	return &answer{status: int(outcome.Status), contentType: outcome.ContentType, held: outcome.Body, end: &rpc.End{}}, nil
}

// settleAnswer records the outcome of a call that ran. An answer that is held
// whole is recorded before the caller gets it; of a longer one only that it ran.
func (e *Entry) settleAnswer(ctx context.Context, c *call, a *answer) {
	if a.end != nil {
		outcome := &coordpb.CallOutcome{Status: uint32(a.status), ContentType: a.contentType, Body: a.held, BodyKept: true}
		e.settle(ctx, c, coordpb.ClaimState_CLAIM_STATE_DONE, outcome)
		return
	}
	a.onEnd(func(_ *rpc.End, err error) {
		if err == nil {
			e.settle(ctx, c, coordpb.ClaimState_CLAIM_STATE_DONE, nil)
		}
	})
}

// settle records how a claim ended. It returns once that is recorded, after
// settleBefore, or at the call's deadline; recording then goes on. When it fails for good, the claim stays
// open and repeats are told that the run is not known, which is true.
func (e *Entry) settle(ctx context.Context, c *call, state coordpb.ClaimState, outcome *coordpb.CallOutcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleAfter)
	settled := make(chan struct{})
	claim := &coordpb.SettleClaim{Workspace: c.workspace.Name, IdempotencyKey: c.key, Attempt: c.id, State: state, Outcome: outcome}
	e.settling.Go(func() {
		defer cancel()
		defer close(settled)
		e.keepSettling(ctx, c.id, claim)
	})
	// The caller's deadline goes before the record.
	timer := time.NewTimer(min(settleBefore, c.deadline.Sub(e.cfg.Now())))
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	}
}

func (e *Entry) keepSettling(ctx context.Context, requestID string, claim *coordpb.SettleClaim) {
	for {
		try, cancel := context.WithTimeout(ctx, claimTry)
		_, err := e.cfg.Control.Settle(try, &rpc.SettleRequest{Caller: e.cfg.Caller, Settle: claim})
		cancel()
		if err = rpc.FromTwirp(err); err == nil {
			return
		}
		if !unanswered(err) || !wait(ctx, claimPause) {
			e.log.Warn("outcome not recorded", "request_id", requestID, "kind", fault.From(err).Kind)
			return
		}
	}
}

// unanswered reports whether control gave no verdict, so that asking again helps.
func unanswered(err error) bool {
	switch fault.From(err).Kind {
	case fault.NotLeader, fault.NoQuorum, fault.Unavailable, fault.Timeout, fault.Canceled:
		return true
	}
	return false
}

// wait returns after d, or false when the context ends before.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
