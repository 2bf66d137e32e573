package node

import (
	"context"

	"cowsliptiller/coord/consensus"
)

// handoverTimeouts bounds a planned stop's wait for another leader, in election timeouts.
const handoverTimeouts = 2

// handOver gives leadership to the best successor and waits until another leads,
// so that a planned stop costs callers no election timeout.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeouts*n.config.electionTimeout())
	defer cancel()
	started := false
	_ = n.do(ctx, func() error {
		if n.raft.Status().Role != consensus.Leader {
			return nil
		}
		to := n.raft.BestSuccessor()
		if to == 0 {
			return nil
		}
		started = true
		return n.raft.Transfer(n.config.Now(), to)
	})
	for started {
		changed := n.LeaderChanged()
		s := n.Status()
		if s.Leader != 0 && s.Leader != s.ID {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-n.stop:
			return
		}
	}
}

// diskHandoverTimeouts bounds a handover after the disk's failure, in election timeouts. Without
// a handover the other members wait for at least one.
const diskHandoverTimeouts = 1

// startDiskHandover starts to hand leadership over because the disk failed. Until it is done, this
// member writes nothing and sends nothing that depends on a write. It commits what a majority
// of the others syncs.
func (n *Node) startDiskHandover() {
	now := n.checkpoint()
	n.handoverDeadline = now
	if n.raft.Status().Role != consensus.Leader {
		return
	}
	to := n.raft.BestSuccessor()
	if to == 0 || n.raft.Transfer(now, to) != nil {
		return
	}
	n.handoverDeadline = now + diskHandoverTimeouts*n.config.electionTimeout()
	n.config.Logger.Warn("handing leadership over: the disk failed", "member", n.config.ID, "to", to, "error", n.store.Err())
}

func (n *Node) hasDiskFailed() bool { return n.diskFailure == nil }

// isDiskHandoverDone reports whether the disk failed and this member can stop.
func (n *Node) isDiskHandoverDone() bool {
	return n.hasDiskFailed() && (n.raft.Status().Role != consensus.Leader || n.config.Now() >= n.handoverDeadline)
}
