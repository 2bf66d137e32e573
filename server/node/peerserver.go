package node

import (
	"context"

	"github.com/twitchtv/twirp"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

// fencedMeta marks an answer to a member that must not go on under its id.
const fencedMeta = "fenced"

// peerServer serves rpc.Peer.
type peerServer struct{ node *Node }

// Deliver implements rpc.Peer. It never waits for a sync of the log.
func (s peerServer) Deliver(_ context.Context, r *rpc.DeliverRequest) (*rpc.DeliverResponse, error) {
	n := s.node
	if r.To != n.config.ID {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this is not the member that was asked for")
	}
	if err := n.guard.admit(r.From, r.FromDisk, r.Group, n.members()); err != nil {
		return nil, refusal(err)
	}
	n.noteAddress(r.From, r.FromAddress)
	id := n.guard.identity()
	if !r.Forming && id.Formed {
		n.deliver(delivery{from: r.From, disk: r.FromDisk, messages: r.Messages})
	}
	return &rpc.DeliverResponse{Disk: id.DiskID, Group: id.Group}, nil
}

// refusedCode is how a member of another group refuses.
var refusedCode = twirp.ErrorCode(fault.AnswerFor(fault.Conflict).TwirpCode)

func refusal(err error) error {
	f := fault.From(err)
	te := twirp.NewError(twirp.ErrorCode(fault.AnswerFor(f.Kind).TwirpCode), f.Message)
	if f.Kind == fault.Fenced {
		te = te.WithMeta(fencedMeta, "disk")
	}
	return te
}

// Deliver implements Log. The messages come from a caller that has already been
// admitted, or from a test.
func (n *Node) Deliver(messages []*coordpb.Message) {
	n.deliver(delivery{messages: messages})
}

// deliver drops what the loop has no room for: the protocol sends it again.
func (n *Node) deliver(d delivery) {
	if len(d.messages) == 0 {
		return
	}
	select {
	case n.inbox <- d:
	default:
	}
}
