// Package charging charges requests against their workspaces' rates on one entry
// host: it drives coord/workspace.Holder with the clock and with messages to the
// owner of the buckets.
package charging

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

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

// Options are what a Rate is made of.
type Options struct {
	Caller  *rpc.Caller
	Control rpc.Control
	Now     func() time.Time // must carry a monotonic reading
	Log     hclog.Logger
}

// Request is what is charged.
type Request struct {
	Workspace string
	Tokens    int64     // of the prompt and the most that may be generated
	Deadline  time.Time // the longest wait for tokens
}

// Rate charges requests. Its lock is a leaf.
type Rate struct {
	control rpc.Control
	caller  *rpc.Caller
	now     func() time.Time
	log     hclog.Logger
	wake    chan struct{}

	mu       sync.Mutex
	holder   *workspace.Holder
	version  uint64 // of the limits that the holder has
	calls    uint64 // that have waited: their ids at the holder
	outcomes map[string]chan workspace.Outcome
}

// wait is a call that waits for tokens. Its id is not the request's: callers choose those, and two
// requests may have one.
type wait struct {
	id      string
	outcome chan workspace.Outcome
}

// New returns a Rate without limits; see Configure.
func New(o Options) *Rate {
	from := workspace.HostKey{Host: o.Caller.GetHost(), Incarnation: o.Caller.GetIncarnation()}
	return &Rate{
		control:  o.Control,
		caller:   o.Caller,
		now:      o.Now,
		log:      o.Log,
		wake:     make(chan struct{}, 1),
		holder:   workspace.NewHolder(from, o.Now()),
		outcomes: map[string]chan workspace.Outcome{},
	}
}

// Configure takes the limits of a version, unless it has them or later ones.
func (r *Rate) Configure(version uint64, limits func() map[string]workspace.Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.version {
		return
	}
	r.version = version
	r.holder.Configure(limits(), r.now())
}

// Charge takes a request's tokens from its workspace's rate, and waits for the
// owner where this host has not enough. Errors: those of workspace.Holder.Charge,
// and the context's where that ends first; nothing is charged then.
func (r *Rate) Charge(ctx context.Context, q Request) (workspace.Charge, error) {
	charge, w, err := r.begin(q)
	if err != nil || w == nil {
		return charge, err
	}
	r.nudge()
	select {
	case o := <-w.outcome:
		return o.Charge, o.Err
	case <-ctx.Done():
		r.cancel(q, w)
		return workspace.Charge{}, ctx.Err()
	}
}

// Preview reports what Charge would decide now on a request, without charging it: whether it would
// wait for tokens, or the error. Errors: those of workspace.Holder.Charge.
func (r *Rate) Preview(q Request) (waits bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Preview(q.Workspace, q.Tokens, q.Deadline, r.now())
}

// begin charges a request, or returns its wait for tokens.
func (r *Rate) begin(q Request) (workspace.Charge, *wait, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := strconv.FormatUint(r.calls+1, 10)
	charge, waits, err := r.holder.Charge(id, q.Workspace, q.Tokens, q.Deadline, r.now())
	if err != nil || !waits {
		return charge, nil, err
	}
	r.calls++
	w := &wait{id, make(chan workspace.Outcome, 1)}
	r.outcomes[id] = w.outcome
	return workspace.Charge{}, w, nil
}

// cancel ends the wait of a call whose caller has gone. An outcome that came in
// between gives its tokens back.
func (r *Rate) cancel(q Request, w *wait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outcomes, w.id)
	r.holder.Cancel(q.Workspace, w.id)
	select {
	case o := <-w.outcome:
		if o.Err == nil {
			r.holder.Refund(o.Charge, o.Charge.Tokens)
		}
	default:
	}
}

// Refund gives back what a request did not use.
func (r *Rate) Refund(charge workspace.Charge, unused int64) {
	if unused <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.Refund(charge, unused)
}

func (r *Rate) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run keeps the holder going until the context ends.
func (r *Rate) Run(ctx context.Context) {
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

func (r *Rate) step() (message *workspace.Draw, next time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.deliver(r.holder.Tick(now))
	message = r.holder.Poll(now)
	return message, r.holder.NextWake(now).Sub(now)
}

// deliver hands outcomes to the calls that wait; the caller holds mu.
func (r *Rate) deliver(outcomes []workspace.Outcome) {
	for _, o := range outcomes {
		waiting, ok := r.outcomes[o.ID]
		if !ok {
			continue
		}
		delete(r.outcomes, o.ID)
		waiting <- o
	}
}

func (r *Rate) send(ctx context.Context, message *workspace.Draw) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	response, err := r.control.Draw(ctx, drawRequest(r.caller, message))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.log.Debug("rate owner did not answer", "kind", fault.From(rpc.FromTwirp(err)).Kind)
		r.holder.DrawFailed(message.Sequence, r.now())
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
			line.Refunds = append(line.Refunds, &rpc.DrawRefund{Tokens: refund.Tokens, Charged: refund.ChargeSequence})
		}
		request.Items = append(request.Items, line)
	}
	return request
}

func drawReply(response *rpc.DrawResponse) *workspace.Reply {
	reply := &workspace.Reply{Epoch: response.Epoch, Sequence: response.Sequence}
	for _, grant := range response.Grants {
		reply.Grants = append(reply.Grants, workspace.Grant{
			Workspace:     grant.Workspace,
			Keep:          grant.KeepTokens,
			Tokens:        grant.Tokens,
			Valid:         time.Duration(grant.ValidMs) * time.Millisecond,
			RetryAfter:    time.Duration(grant.RetryAfterMs) * time.Millisecond,
			Recovering:    grant.Unsettled,
			QueueFull:     grant.LineFull,
			Backlog:       time.Duration(grant.BacklogMs) * time.Millisecond,
			QueueRoom:     time.Duration(grant.RoomMs) * time.Millisecond,
			PrefetchLimit: grant.ShareTokens,
		})
	}
	return reply
}
