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

// attemptTime bounds one control process's turn. A control process that was cut
// off silently gives neither an answer nor an error; a caller would wait for its
// whole deadline there. One and a half seconds is above an election with the
// default tick (10 to 20 ticks of 50 ms) and the commit after it.
const attemptTime = 1500 * time.Millisecond

// attemptTimeOf bounds the turn of a call: a large one must not be given up, and sent
// again, while it is still on its way.
func attemptTimeOf(call proto.Message) time.Duration {
	return attemptTime + time.Duration(proto.Size(call))*time.Second/process.SlowestLink
}

// Peers says which control processes there are now, in any order.
type Peers interface {
	Leaders
	// Addresses returns IP:port of each.
	Addresses() []string
}

// Control is an rpc.Control over several control processes.
type Control struct {
	peers   Peers
	clients *rpc.Clients[rpc.Control]

	mu    sync.Mutex // guards first; a leaf
	first string     // the one that answered last
}

// NewControl returns a client that dials each address at its first use.
func NewControl(peers Peers, dial func(address string) rpc.Control) *Control {
	return &Control{peers: peers, clients: rpc.NewClients(dial)}
}

var _ rpc.Control = (*Control)(nil)

// order returns the addresses: first the leader, which the others would pass most calls
// on to, then the one that answered last.
func (c *Control) order() []string {
	addresses := c.peers.Addresses()
	leader, _ := c.peers.Led()
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := func(address string) int {
		switch address {
		case leader:
			return 0
		case c.first:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return addresses
}

// next returns the best address that was not tried yet, "" when all were.
func (c *Control) next(tried []string) string {
	for _, a := range c.order() {
		if !slices.Contains(tried, a) {
			return a
		}
	}
	return ""
}

func (c *Control) answered(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = address
}

// call tries the control processes in turn. Each call of the interface may reach
// control twice without harm: claims, settlements, confirmations and strikes are
// told apart by attempt or fencing number, draws by their sequence.
func call[Q proto.Message, A any](ctx context.Context, c *Control, q Q, do func(rpc.Control, context.Context, Q) (A, error)) (A, error) {
	var zero A
	err := fault.New(fault.Unavailable, "no control process is known")
	var tried []string
	for address := c.next(nil); address != ""; address = c.next(tried) {
		tried = append(tried, address)
		var answer A
		answer, err = attempt(ctx, c, address, q, do)
		if err == nil {
			c.answered(address)
			return answer, nil
		}
		if ctx.Err() != nil || !another(err) {
			return zero, err
		}
	}
	return zero, err
}

func attempt[Q proto.Message, A any](ctx context.Context, c *Control, address string, q Q, do func(rpc.Control, context.Context, Q) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeOf(q))
	defer cancel()
	ctx, stop := whileLed(ctx, c.peers, address)
	defer stop()
	return do(c.clients.At(address), ctx, q)
}

// another reports whether another control process may do better.
func another(err error) bool {
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

// Adopt implements rpc.Control. A deployment names its own version, so that a
// second commit of it changes nothing.
func (c *Control) Adopt(ctx context.Context, q *rpc.AdoptRequest) (*rpc.AdoptResponse, error) {
	return call(ctx, c, q, rpc.Control.Adopt)
}

// Source implements rpc.Control.
func (c *Control) Source(ctx context.Context, q *rpc.SourceRequest) (*rpc.SourceResponse, error) {
	return call(ctx, c, q, rpc.Control.Source)
}
