package node

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
)

// run sends the queue, one call at a time and so in order.
func (l *lane) run() {
	defer l.node.running.Done()
	defer l.disconnect()
	for {
		select {
		case <-l.node.stop:
			return
		case <-l.wake:
		}
		for messages := l.take(); len(messages) > 0; messages = l.take() {
			_, _ = l.deliver(messages, false)
		}
	}
}

// deliverTime bounds one call. Half an election timeout leaves time for a new connection
// before the peer stands for election because the old one went silent. A call with large
// entries gets the time that they take on the slowest link, or a member that lags would be
// sent the same entries again and again.
func deliverTime(electionTimeout time.Duration, messages []*coordpb.Message) time.Duration {
	bytes := 0
	for _, m := range messages {
		bytes += proto.Size(m)
	}
	return electionTimeout/2 + time.Duration(bytes)*time.Second/process.MinLinkBytesPerSecond
}

// deliver makes one call.
func (l *lane) deliver(messages []*coordpb.Message, forming bool) (*rpc.DeliverResponse, error) {
	address := l.node.addressOf(l.id)
	if address == "" {
		return nil, fault.New(fault.Unavailable, "the address of member %d is not known", l.id)
	}
	ctx, cancel := context.WithTimeout(l.node.ctx, deliverTime(l.node.config.electionTimeout(), messages))
	defer cancel()
	if l.client == nil {
		l.client = l.node.config.NewClient()
	}
	id := l.node.guard.identity()
	request := &rpc.DeliverRequest{To: l.id, Messages: messages, From: id.Member, FromDisk: id.DiskID, Group: id.Group, Forming: forming, FromAddress: l.node.addressOf(id.Member)}
	response, err := rpc.NewPeerProtobufClient("http://"+address, l.client).Deliver(ctx, request)
	if err != nil {
		l.failed(ctx, err)
		return nil, err
	}
	if err := l.node.guard.admit(l.id, response.Disk, response.Group, l.node.members()); err != nil {
		l.node.config.Logger.Error("a member answers from another disk", "member", l.id, "error", err)
		return nil, err
	}
	return response, nil
}

// failed replaces the connection after a timeout and stops the member when the
// group does not know its disk.
func (l *lane) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		// The old client's connection, if it does not respond, is closed by its own pings.
		l.disconnect()
	}
	var te twirp.Error
	if !errors.As(err, &te) {
		return
	}
	if te.Meta(fencedMeta) != "" {
		go l.node.fatal(fault.New(fault.Fenced, "member %d refuses this one: %s", l.id, te.Msg()))
	}
	if refused := te.Code() == refusedCode; refused && te.Msg() != l.refusal {
		l.refusal = te.Msg()
		l.node.config.Logger.Warn("another control process refuses this one", "member", l.id, "reason", l.refusal)
	}
}

// disconnect gives the client up and closes its connections.
func (l *lane) disconnect() {
	if l.client != nil {
		l.client.CloseIdleConnections()
		l.client = nil
	}
}

// addressOf finds a member's address. While the log tells none, as at a member
// that joins, the first members' and the callers' own word are used.
func (n *Node) addressOf(id uint64) string {
	if a := addressOf(n.members(), id); a != "" {
		return a
	}
	if a := addressOf(n.config.Members, id); a != "" {
		return a
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told[id]
}

// noteAddress keeps the address that a caller gave as its own.
func (n *Node) noteAddress(id uint64, address string) {
	if address == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told[id] = address
}

func (n *Node) members() []*coordpb.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status.Members
}
