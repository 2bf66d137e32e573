package node

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

// run sends the queue, one call at a time and so in order.
func (p *peer) run() {
	defer p.node.running.Done()
	for {
		select {
		case <-p.node.stop:
			return
		case <-p.wake:
		}
		for messages := p.take(); len(messages) > 0; messages = p.take() {
			_, _ = p.deliver(messages, false)
		}
	}
}

// slowestLink is the least that a link between members is taken to carry, in bytes a
// second: the narrowest in use has 10 Mbit/s.
const slowestLink = 1 << 20

// deliverTime bounds one call. It is half an election timeout: long enough for a busy
// peer, and short enough to try a new connection before the peer stands for election
// because the old one went silent. A call with large entries gets the time that they
// take on a slow link: without it a member that had missed ten deployments never got
// the first of them, and lagged behind for as long as the link was busy.
func deliverTime(electionTimeout time.Duration, messages []*coordpb.Message) time.Duration {
	bytes := 0
	for _, m := range messages {
		bytes += proto.Size(m)
	}
	return electionTimeout/2 + time.Duration(bytes)*time.Second/slowestLink
}

// deliver makes one call.
func (p *peer) deliver(messages []*coordpb.Message, forming bool) (*rpc.DeliverResponse, error) {
	address := p.node.addressOf(p.id)
	if address == "" {
		return nil, fault.New(fault.Unavailable, "the address of member %d is not known", p.id)
	}
	ctx, cancel := context.WithTimeout(p.node.ctx, deliverTime(p.node.config.electionTimeout(), messages))
	defer cancel()
	if p.client == nil {
		p.client = p.node.config.NewClient()
	}
	id := p.node.guard.identity()
	request := &rpc.DeliverRequest{To: p.id, Messages: messages, From: id.Member, FromDisk: id.Disk, Group: id.Group, Forming: forming, FromAddress: p.node.addressOf(id.Member)}
	response, err := rpc.NewPeerProtobufClient("http://"+address, p.client).Deliver(ctx, request)
	if err != nil {
		p.failed(ctx, err)
		return nil, err
	}
	if err := p.node.guard.admit(p.id, response.Disk, response.Group, p.node.members()); err != nil {
		p.node.config.Logger.Error("a member answers from another disk", "member", p.id, "error", err)
		return nil, err
	}
	return response, nil
}

// failed replaces the connection after a timeout and stops the member when the
// group does not know its disk.
func (p *peer) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		// The old client's connection is closed by its own pings.
		p.client = nil
	}
	var te twirp.Error
	if !errors.As(err, &te) {
		return
	}
	if te.Meta(fencedMeta) != "" {
		go p.node.fatal(fault.New(fault.Fenced, "member %d refuses this one: %s", p.id, te.Msg()))
	}
	if refused := te.Code() == refusedCode; refused && te.Msg() != p.refusal {
		p.refusal = te.Msg()
		p.node.config.Logger.Warn("another control process refuses this one", "member", p.id, "reason", p.refusal)
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
