package failover

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
)

// attemptTimeout limits one attempt at one control process, besides the time to transfer
// the request. A process behind a partition that drops packets returns neither a response
// nor an error, so that a caller would wait there until its deadline. 1.5 s exceeds an
// election with the default tick (10 to 20 ticks of 50 ms) and the commit that follows it.
const attemptTimeout = 1500 * time.Millisecond

// attemptTimeoutFor returns the timeout of one attempt to send a request, including its
// transfer over the slowest supported link: a large request must not time out, and be sent
// again, during the transfer.
func attemptTimeoutFor(call proto.Message) time.Duration {
	return attemptTimeout + time.Duration(proto.Size(call))*time.Second/process.MinLinkBytesPerSecond
}

// Peers provides the current control processes and their leader.
type Peers interface {
	Leaders
	// Addresses returns IP:port of each control process, in any order. The caller owns
	// the slice.
	Addresses() []string
}

// Control is an rpc.Control that fails over between several control processes.
type Control struct {
	peers   Peers
	clients *rpc.Clients[rpc.Control]

	mu           sync.Mutex // guards lastAnswered; no other lock is acquired while it is held
	lastAnswered string     // address of the process that answered last
}

// NewControl returns a client that dials each address on first use.
func NewControl(peers Peers, dial func(address string) rpc.Control) *Control {
	return &Control{peers: peers, clients: rpc.NewClients(dial)}
}

var _ rpc.Control = (*Control)(nil)

// ordered returns the addresses in the order of preference: first the leader, to which the
// others forward most calls, then the process that answered last.
func (c *Control) ordered() []string {
	addresses := c.peers.Addresses()
	leader, _ := c.peers.Led()
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := func(address string) int {
		switch address {
		case leader:
			return 0
		case c.lastAnswered:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return addresses
}

// nextUntried returns the preferred address that is not in tried, "" if there is none.
func (c *Control) nextUntried(tried []string) string {
	for _, a := range c.ordered() {
		if !slices.Contains(tried, a) {
			return a
		}
	}
	return ""
}

func (c *Control) setLastAnswered(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswered = address
}

// call tries the control processes one after the other. A call may reach control twice,
// which is safe for every method of the interface: claims, settlements, confirmations and
// strikes are identified by attempt or fencing number, draws by their sequence number.
func call[Q proto.Message, A any](ctx context.Context, c *Control, q Q, do func(rpc.Control, context.Context, Q) (A, error)) (A, error) {
	var zero A
	err := fault.New(fault.Unavailable, "no address of a control process is known")
	var tried []string
	for address := c.nextUntried(nil); address != ""; address = c.nextUntried(tried) {
		tried = append(tried, address)
		var answer A
		answer, err = attempt(ctx, c, address, q, do)
		if err == nil {
			c.setLastAnswered(address)
			return answer, nil
		}
		if ctx.Err() != nil || !retryable(err) {
			return zero, err
		}
	}
	return zero, err
}

func attempt[Q proto.Message, A any](ctx context.Context, c *Control, address string, q Q, do func(rpc.Control, context.Context, Q) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeoutFor(q))
	defer cancel()
	ctx, stop := cancelOnLeaderChange(ctx, c.peers, address)
	defer stop()
	return do(c.clients.At(address), ctx, q)
}

// retryable reports whether a call that failed with err may succeed at another control
// process.
func retryable(err error) bool {
	switch fault.From(rpc.FromTwirp(err)).Kind {
	case fault.Unavailable, fault.NotLeader, fault.NoQuorum, fault.Stale, fault.Leaving, fault.Timeout, fault.Canceled:
		return true
	}
	return false
}

// Sync implements rpc.Control.
func (c *Control) Sync(ctx context.Context, q *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return call(ctx, c, q, rpc.Control.Sync)
}

// Claim implements rpc.Control.
func (c *Control) Claim(ctx context.Context, q *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	return call(ctx, c, q, rpc.Control.Claim)
}

// Settle implements rpc.Control.
func (c *Control) Settle(ctx context.Context, q *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	return call(ctx, c, q, rpc.Control.Settle)
}

// Draw implements rpc.Control.
func (c *Control) Draw(ctx context.Context, q *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	return call(ctx, c, q, rpc.Control.Draw)
}

// Demand implements rpc.Control.
func (c *Control) Demand(ctx context.Context, q *rpc.DemandRequest) (*rpc.DemandResponse, error) {
	return call(ctx, c, q, rpc.Control.Demand)
}

// Confirm implements rpc.Control.
func (c *Control) Confirm(ctx context.Context, q *rpc.ConfirmRequest) (*rpc.ConfirmResponse, error) {
	return call(ctx, c, q, rpc.Control.Confirm)
}

// Strike implements rpc.Control.
func (c *Control) Strike(ctx context.Context, q *rpc.StrikeRequest) (*rpc.StrikeResponse, error) {
	return call(ctx, c, q, rpc.Control.Strike)
}

// Forward implements rpc.Control.
func (c *Control) Forward(ctx context.Context, q *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	return call(ctx, c, q, rpc.Control.Forward)
}

// Read implements rpc.Control.
func (c *Control) Read(ctx context.Context, q *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	return call(ctx, c, q, rpc.Control.Read)
}

// Subscribers implements rpc.Control.
func (c *Control) Subscribers(ctx context.Context, q *rpc.SubscribersRequest) (*rpc.SubscribersResponse, error) {
	return call(ctx, c, q, rpc.Control.Subscribers)
}

// Observe implements rpc.Control.
func (c *Control) Observe(ctx context.Context, q *rpc.ObserveRequest) (*rpc.ObserveResponse, error) {
	return call(ctx, c, q, rpc.Control.Observe)
}

// Adopt implements rpc.Control. A deployment contains its version, so that committing it
// twice changes nothing.
func (c *Control) Adopt(ctx context.Context, q *rpc.AdoptRequest) (*rpc.AdoptResponse, error) {
	return call(ctx, c, q, rpc.Control.Adopt)
}

// Evacuate implements rpc.Control. Repeating it changes nothing.
func (c *Control) Evacuate(ctx context.Context, q *rpc.EvacuateRequest) (*rpc.EvacuateResponse, error) {
	return call(ctx, c, q, rpc.Control.Evacuate)
}

// Source implements rpc.Control.
func (c *Control) Source(ctx context.Context, q *rpc.SourceRequest) (*rpc.SourceResponse, error) {
	return call(ctx, c, q, rpc.Control.Source)
}
