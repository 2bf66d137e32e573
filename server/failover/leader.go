package failover

import (
	"context"

	"cowsliptiller/server/rpc"
)

// Leaders provides the current leader of control.
type Leaders interface {
	// Led returns the last reported address of the leader, "" if it is unknown, and a
	// channel that is closed when the reported address changes.
	Led() (address string, changed <-chan struct{})
}

// cancelOnLeaderChange returns a context that is canceled when a process at another address
// than the given one becomes the leader of control.
//
// It cancels calls to a former leader that no longer responds. Its host does not reject
// them, so that they would last until their timeout although the next leader is available:
// reports, watches and charges were a second late after each change of the leader.
func cancelOnLeaderChange(ctx context.Context, l Leaders, address string) (context.Context, context.CancelFunc) {
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

// Boards provides clients of the current leader's board.
type Boards struct {
	leaders Leaders
	clients *rpc.Clients[rpc.Board]
}

// NewBoards returns a Boards that dials each leader on first use.
func NewBoards(leaders Leaders, dial func(address string) rpc.Board) *Boards {
	return &Boards{leaders: leaders, clients: rpc.NewClients(dial)}
}

// Current returns a client of the leader's board, nil if no leader is known. Its calls are
// canceled when another process becomes the leader.
func (b *Boards) Current() rpc.Board {
	address, _ := b.leaders.Led()
	if address == "" {
		return nil
	}
	return &board{b.clients.At(address), b.leaders, address}
}

// board is a client of one leader's board, whose calls are canceled when the leader changes.
type board struct {
	client  rpc.Board
	leaders Leaders
	address string
}

// Report implements rpc.Board.
func (b *board) Report(ctx context.Context, r *rpc.StandingReport) (*rpc.StandingReportResponse, error) {
	ctx, cancel := cancelOnLeaderChange(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.Report(ctx, r)
}

// Watch implements rpc.Board.
func (b *board) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	ctx, cancel := cancelOnLeaderChange(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.Watch(ctx, r)
}

// Reserve implements rpc.Board.
func (b *board) Reserve(ctx context.Context, r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	ctx, cancel := cancelOnLeaderChange(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.Reserve(ctx, r)
}

// Permit implements rpc.Board.
func (b *board) Permit(ctx context.Context, r *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	ctx, cancel := cancelOnLeaderChange(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.Permit(ctx, r)
}

// ServiceVersions implements rpc.Board.
func (b *board) ServiceVersions(ctx context.Context, r *rpc.ServiceVersionsRequest) (*rpc.ServiceVersionsResponse, error) {
	ctx, cancel := cancelOnLeaderChange(ctx, b.leaders, b.address)
	defer cancel()
	return b.client.ServiceVersions(ctx, r)
}
