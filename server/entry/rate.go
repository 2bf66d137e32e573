package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/workspace"
	"cowsliptiller/server/rpc"
)

// drawTimeout bounds one message to the owner of the buckets. The holder sends
// its next one after workspace.ReplyTimeout; this one goes on so that a control
// process that fell silent is passed over below.
const drawTimeout = 2 * time.Second

// minWake keeps the loop from spinning when something is due at once.
const minWake = time.Millisecond

// rate charges requests against their workspaces' rates: it drives
// workspace.Holder with the clock and with messages to control.
type rate struct {
	control rpc.Control
	caller  *rpc.Caller
	now     func() time.Time
	log     hclog.Logger
	wake    chan struct{}

	mu       sync.Mutex
	holder   *workspace.Holder
	limits   *config.Configuration // that the holder has
	outcomes map[string]chan workspace.Outcome
}

func newRate(cfg Config) *rate {
	from := workspace.HostKey{Host: cfg.Caller.GetHost(), Incarnation: cfg.Caller.GetIncarnation()}
	return &rate{
		control:  cfg.Control,
		caller:   cfg.Caller,
		now:      cfg.Now,
		log:      cfg.Log,
		wake:     make(chan struct{}, 1),
		holder:   workspace.NewHolder(from, cfg.Now()),
		outcomes: map[string]chan workspace.Outcome{},
	}
}

// configure takes the limits of a configuration, once.
func (r *rate) configure(c *config.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits == c {
		return
	}
	r.limits = c
	r.holder.Configure(workspace.Limits(c), r.now())
}

// charge takes a call's tokens from its workspace's rate, and waits for the
// owner where this host has not enough. The errors of workspace.Holder.Charge.
func (r *rate) charge(ctx context.Context, c *call) (workspace.Charge, error) {
	charge, outcome, err := r.begin(c)
	if err != nil || outcome == nil {
		return charge, err
	}
	r.nudge()
	select {
	case o := <-outcome:
		return o.Charge, o.Err
	case <-ctx.Done():
		r.cancel(c, outcome)
		return workspace.Charge{}, notHandedOver(ctx)
	}
}

func (r *rate) begin(c *call) (workspace.Charge, chan workspace.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	charge, waits, err := r.holder.Charge(c.id, c.workspace.Name, c.tokens, c.deadline, r.now())
	if err != nil || !waits {
		return charge, nil, err
	}
	outcome := make(chan workspace.Outcome, 1)
	r.outcomes[c.id] = outcome
	return workspace.Charge{}, outcome, nil
}

// cancel ends the wait of a call whose caller has gone. An outcome that came in
// between gives its tokens back.
func (r *rate) cancel(c *call, outcome chan workspace.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outcomes, c.id)
	r.holder.Cancel(c.workspace.Name, c.id)
	select {
	case o := <-outcome:
		if o.Err == nil {
			r.holder.Refund(o.Charge, o.Charge.Tokens)
		}
	default:
	}
}

// refund gives back what a call did not use.
func (r *rate) refund(charge workspace.Charge, unused int64) {
	if unused <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.Refund(charge, unused)
}

func (r *rate) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run keeps the holder going until the context ends.
func (r *rate) run(ctx context.Context) {
	for ctx.Err() == nil {
		message, next := r.step()
		if message != nil {
			go r.send(ctx, message)
		}
		timer := time.NewTimer(max(next, minWake))
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *rate) step() (message *workspace.Draw, next time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.deliver(r.holder.Tick(now))
	message = r.holder.Poll(now)
	return message, r.holder.Wake(now).Sub(now)
}

// deliver hands outcomes to the calls that wait; the caller holds mu.
func (r *rate) deliver(outcomes []workspace.Outcome) {
	for _, o := range outcomes {
		waiting, ok := r.outcomes[o.ID]
		if !ok {
			continue
		}
		delete(r.outcomes, o.ID)
		waiting <- o
	}
}

func (r *rate) send(ctx context.Context, message *workspace.Draw) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	response, err := r.control.Draw(ctx, drawRequest(r.caller, message))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.log.Debug("rate owner did not answer", "kind", fault.From(rpc.FromTwirp(err)).Kind)
		r.holder.Failed(message.Sequence, r.now())
	} else {
		r.deliver(r.holder.Reply(drawReply(response), r.now()))
	}
	r.nudge()
}

func drawRequest(caller *rpc.Caller, d *workspace.Draw) *rpc.DrawRequest {
	request := &rpc.DrawRequest{Caller: caller, Sequence: d.Sequence, Applied: d.Applied, Epoch: d.Epoch, UptimeMs: uint64(d.Uptime.Milliseconds())}
	for _, item := range d.Items {
		line := &rpc.DrawItem{
			Workspace:     item.Workspace,
			WantTokens:    item.Want,
			NeedTokens:    item.Need,
			ReturnTokens:  item.Return,
			HoldingTokens: item.Holding,
			DrawnInWindow: item.SpentInWindow,
			RecentUsePerS: item.UsePerSecond,
		}
		for _, refund := range item.Refunds {
			line.Refunds = append(line.Refunds, &rpc.DrawRefund{Tokens: refund.Tokens, Charged: refund.Charged})
		}
		request.Items = append(request.Items, line)
	}
	return request
}

func drawReply(response *rpc.DrawResponse) *workspace.Reply {
	reply := &workspace.Reply{Epoch: response.Epoch, Sequence: response.Sequence}
	for _, grant := range response.Grants {
		reply.Grants = append(reply.Grants, workspace.Grant{
			Workspace:  grant.Workspace,
			Keep:       grant.KeepTokens,
			Tokens:     grant.Tokens,
			Valid:      time.Duration(grant.ValidMs) * time.Millisecond,
			RetryAfter: time.Duration(grant.RetryAfterMs) * time.Millisecond,
			Unsettled:  grant.Unsettled,
		})
	}
	return reply
}
