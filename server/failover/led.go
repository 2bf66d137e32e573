package failover

import (
	"context"

	"cowsliptiller/server/rpc"
)

// Leaders says who leads control.
type Leaders interface {
	// Led returns the address of the leader as last told, "" while none is known, and a
	// channel that is closed when another one is told.
	Led() (address string, changed <-chan struct{})
}

// whileLed returns a context that ends once control is led by another process than the
// one at an address.
//
// It guards against calls that wait at a former leader which fell silent. Its host does
// not refuse them, so that they last for their whole time limit, while the next leader
// stands ready: reports, watches and charges came a second late after each change.
func whileLed(ctx context.Context, l Leaders, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	_, changed := l.Led()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			leader := ""
			if leader, changed = l.Led(); leader != "" && leader != address {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// Boards reaches the board of whichever process leads.
type Boards struct {
	leaders Leaders
	clients *rpc.Clients[rpc.Board]
}

// NewBoards returns a client that dials each leader at its first use.
func NewBoards(leaders Leaders, dial func(address string) rpc.Board) *Boards {
	return &Boards{leaders: leaders, clients: rpc.NewClients(dial)}
}

// Current returns the leader's board, nil while no leader is known. Its calls end when
// another process leads.
func (b *Boards) Current() rpc.Board {
	address, _ := b.leaders.Led()
	if address == "" {
		return nil
	}
	return &board{b.clients.At(address), b.leaders, address}
}

// board is the board of one leader for as long as it leads.
type board struct {
	client  rpc.Board
	leaders Leaders
	address string
}

// Report implements rpc.Board.
func (b *board) Report(ctx context.Context, r *rpc.StandingReport) (*rpc.StandingReportResponse, error) {
	ctx, cancel := whileLed(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.Report(ctx, r)
}

// Watch implements rpc.Board.
func (b *board) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	ctx, cancel := whileLed(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.Watch(ctx, r)
}

// Permit implements rpc.Board.
func (b *board) Permit(ctx context.Context, r *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	ctx, cancel := whileLed(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.Permit(ctx, r)
}
